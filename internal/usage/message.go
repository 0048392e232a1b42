package usage

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/fleet"
)

// Topic names the messages of this package between nodes.
const Topic = "usage"

// Message tells claims that changed or are due to be told again.
type Message struct {
	Sequence uint64  `cbor:"1,keyasint"` // grows with each message of one life of a node
	Claims   []Claim `cbor:"2,keyasint"`
}

// Claim is a node's claims on the caps of one organisation.
type Claim struct {
	_            struct{} `cbor:",toarray"`
	Organisation uint32   // hash of the name; two with the same hash share beliefs, which does no harm
	Model        level
	Lookups      level
}

const (
	// messageClaims bounds the claims of one message: it then fits a datagram.
	messageClaims = 100
	// headBytes and claimBytes are the encoded sizes: map, keys, sequence and
	// array head; array head, hash and two levels.
	headBytes  = 16
	claimBytes = 10
	// packetBytes is about what a message costs besides: headers of IP, UDP and
	// QUIC, stream frame and topic.
	packetBytes = 80
	// worthClaims is with how many claims a message is sent when not all that
	// are due can be paid for: in a large fleet messages of one claim each
	// would be mostly headers.
	worthClaims = 20
)

// cost is what a message of n claims costs of the bytes that may be sent.
func cost(n int) float64 { return float64(packetBytes + headBytes + n*claimBytes) }

func (m *Message) encode() ([]byte, error) { return cbor.Marshal(m) }

func decode(payload []byte) (*Message, error) {
	if len(payload) > headBytes+messageClaims*claimBytes {
		return nil, fmt.Errorf("usage: a message of %d bytes is over the limit; the sender runs another version", len(payload))
	}
	m := &Message{}
	if err := cbor.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("usage: message cannot be read; the sender runs another version: %w", err)
	}
	for i := range m.Claims {
		c := &m.Claims[i]
		c.Model, c.Lookups = min(c.Model, topLevel), min(c.Lookups, topLevel)
	}
	return m, nil
}

// hashOf is the form in which messages name an organisation.
func hashOf(o fleet.Organisation) uint32 { return uint32(xxhash.Sum64String(string(o))) }
