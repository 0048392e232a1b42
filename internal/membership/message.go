package membership

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/fleet"
)

// Kind is the type of a message.
type Kind uint8

// The message types.
const (
	KindPing    Kind = iota + 1 // reply with KindAck and the same Seq
	KindAck                     // reply to a ping
	KindPingReq                 // ping Target at Addr and relay its ack to the sender
	KindGossip                  // no reply
	KindSync                    // if Digest differs from the receiver's, reply with KindState
	KindState                   // Entries is the sender's full state; reply with KindRepair
	KindRepair                  // Entries holds what the receiver's state lacked
)

// Message is a message between nodes on Topic.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Seq     uint64
	Target  fleet.VM // KindPingReq
	Addr    string   // KindPingReq
	Digest  uint64   // KindSync
	Self    Entry    // the sender
	Entries []Entry  // updates, or the full state
}

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

// maxEntries bounds a full state; each VM has one entry.
const maxEntries = 1 << 15

func init() {
	var err error
	if encMode, err = (cbor.EncOptions{}).EncMode(); err != nil {
		panic(err) // the options are constants
	}
	if decMode, err = (cbor.DecOptions{MaxArrayElements: maxEntries, MaxNestedLevels: 8}).DecMode(); err != nil {
		panic(err) // the options are constants
	}
}

// Encode returns the wire encoding of the message.
func (m *Message) Encode() ([]byte, error) { return encMode.Marshal(m) }

// Decode decodes a message from its wire encoding.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := decMode.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("membership: cannot decode message; run the same version on all nodes: %w", err)
	}
	return m, nil
}
