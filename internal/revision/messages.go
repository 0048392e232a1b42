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

// Announcement carries the highest stamp of a node.
type Announcement struct {
	Stamp Stamp `cbor:"1,keyasint"`
}

// FetchRequest asks for one revision.
type FetchRequest struct {
	Stamp Stamp `cbor:"1,keyasint"`
}

// FetchReply carries the revision; Record is nil if the node does not have it.
type FetchReply struct {
	Record *Record `cbor:"1,keyasint,omitempty"`
}

// errBadMessage means that a message is corrupt or comes from an incompatible
// version of the program.
var errBadMessage = errors.New("revision: cannot decode message; run one version of the program on all nodes")

func encode(v any) []byte {
	out, err := cbor.Marshal(v)
	if err != nil { // unreachable: messages contain only numbers, strings and bytes
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
