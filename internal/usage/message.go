package usage

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/fleet"
)

// Topic is the topic of this package's messages between nodes.
const Topic = "usage"

// Message announces claims that have changed or are due to be repeated.
type Message struct {
	Sequence uint64  `cbor:"1,keyasint"` // increases with each message of one incarnation of a node
	Claims   []Claim `cbor:"2,keyasint"`
}

// Claim holds a node's claims on the caps of one organisation.
type Claim struct {
	_            struct{} `cbor:",toarray"`
	Organisation uint32   // hash of the name; organisations with equal hashes share claims, which is harmless
	Model        level
	Lookups      level
}

const (
	// maxClaimsPerMessage keeps a message within one datagram.
	maxClaimsPerMessage = 100
	// headerBytes is the encoded size of map, keys, sequence and array head,
	// claimBytes that of a claim: array head, hash and two levels.
	headerBytes = 16
	claimBytes  = 10
	// packetOverheadBytes is the approximate overhead of a message: headers of
	// IP, UDP and QUIC, stream frame and topic.
	packetOverheadBytes = 80
	// minClaimsPerMessage is the number of claims to wait for when the send
	// credit does not cover all that are due: in a large fleet messages of one
	// claim each would consist mostly of headers.
	minClaimsPerMessage = 20
)

// messageCost returns the send credit, in bytes, that a message of n claims
// uses.
func messageCost(n int) float64 { return float64(packetOverheadBytes + headerBytes + n*claimBytes) }

func (m *Message) encode() ([]byte, error) { return cbor.Marshal(m) }

func decode(payload []byte) (*Message, error) {
	if len(payload) > headerBytes+maxClaimsPerMessage*claimBytes {
		return nil, fmt.Errorf("usage: message of %d bytes exceeds the limit; the sender runs another version", len(payload))
	}
	m := &Message{}
	if err := cbor.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("usage: cannot decode message; the sender runs another version: %w", err)
	}
	for i := range m.Claims {
		c := &m.Claims[i]
		c.Model, c.Lookups = min(c.Model, maxLevel), min(c.Lookups, maxLevel)
	}
	return m, nil
}

// organisationHash returns the identifier of an organisation in messages.
func organisationHash(o fleet.Organisation) uint32 { return uint32(xxhash.Sum64String(string(o))) }
