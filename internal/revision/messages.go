package revision

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Names of the messages between nodes. Payloads are CBOR.
const (
	TopicAnnounce = "revision.announce" // broadcast: Announcement
	MethodHighest = "revision.highest"  // call: nothing -> Announcement
	MethodFetch   = "revision.fetch"    // call: FetchRequest -> FetchReply
)

// Announcement tells the highest revision that a node holds.
type Announcement struct {
	Stamp Stamp `cbor:"1,keyasint"`
}

// FetchRequest asks for one revision.
type FetchRequest struct {
	Stamp Stamp `cbor:"1,keyasint"`
}

// FetchReply holds the revision; Record is nil when the node does not have it.
type FetchReply struct {
	Record *Record `cbor:"1,keyasint,omitempty"`
}

// errBadMessage means that a peer of another make or a fault on the way.
var errBadMessage = errors.New("revision: a message cannot be read; run one version of the program on all nodes")

func encode(v any) []byte {
	out, err := cbor.Marshal(v)
	if err != nil { // the messages hold numbers, texts and bytes
		panic(err)
	}
	return out
}

func decode(payload []byte, v any) error {
	if err := cbor.Unmarshal(payload, v); err != nil {
		return fmt.Errorf("%w: %w", errBadMessage, err)
	}
	return nil
}
