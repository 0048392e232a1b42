package membership

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/fleet"
)

// Kind is what a message asks for.
type Kind uint8

// The kinds of message.
const (
	KindPing    Kind = iota + 1 // answer with KindAck and the same Seq
	KindAck                     // answers a ping
	KindPingReq                 // ping Target at Addr and pass its ack on to me
	KindGossip                  // no answer
	KindSync                    // compare Digest with yours; send KindState when they differ
	KindState                   // Entries is the sender's whole state; answer with KindRepair
	KindRepair                  // Entries is what the state of the receiver lacked
)

// Message is what nodes send each other on the topic of this package.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Seq     uint64
	Target  fleet.VM // KindPingReq
	Addr    string   // KindPingReq
	Digest  uint64   // KindSync
	Self    Entry    // the sender
	Entries []Entry  // news, or the state
}

var (
	encMode cbor.EncMode
	decMode cbor.DecMode
)

// maxEntries bounds a state; one VM is one entry.
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

// Encode returns the message's wire form.
func (m *Message) Encode() ([]byte, error) { return encMode.Marshal(m) }

// Decode reads a message's wire form.
func Decode(b []byte) (*Message, error) {
	m := &Message{}
	if err := decMode.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("membership: unreadable message; run the same version on all nodes: %w", err)
	}
	return m, nil
}
