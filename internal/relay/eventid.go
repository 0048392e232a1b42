package relay

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"chervilloom/internal/fleet"
)

// StreamRef names a stream where it runs. It is all that a node needs to
// resume the stream.
type StreamRef struct {
	VM         fleet.VM
	Group      fleet.GroupID
	Generation fleet.Generation
	Stream     string // at the engine
}

// EventID is a place in a stream: the event at Offset.
type EventID struct {
	StreamRef
	Offset uint64
}

// String returns "vm.group.generation.stream:offset"; dots and colons within
// names are escaped.
func (e EventID) String() string {
	return e.prefix() + strconv.FormatUint(e.Offset, 10)
}

// prefix is the part of the event id that all events of a stream share.
func (r StreamRef) prefix() string {
	return escape(string(r.VM)) + "." + escape(string(r.Group)) + "." +
		strconv.FormatUint(uint64(r.Generation), 10) + "." + escape(r.Stream) + ":"
}

var escaper = strings.NewReplacer("%", "%25", ".", "%2E", ":", "%3A", "\n", "%0A", "\r", "%0D", "\x00", "%00")

func escape(s string) string { return escaper.Replace(s) }

// ParseEventID reads what EventID.String wrote.
func ParseEventID(s string) (EventID, error) {
	place, offset, ok := strings.Cut(s, ":")
	parts := strings.Split(place, ".")
	if !ok || len(parts) != 4 {
		return EventID{}, badEventID(s)
	}
	var id EventID
	var err error
	if id.Offset, err = strconv.ParseUint(offset, 10, 64); err != nil {
		return EventID{}, badEventID(s)
	}
	gen, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return EventID{}, badEventID(s)
	}
	names := [3]string{parts[0], parts[1], parts[3]}
	for i, n := range names {
		if names[i], err = url.PathUnescape(n); err != nil || names[i] == "" {
			return EventID{}, badEventID(s)
		}
	}
	id.VM, id.Group, id.Stream = fleet.VM(names[0]), fleet.GroupID(names[1]), names[2]
	id.Generation = fleet.Generation(gen)
	return id, nil
}

func badEventID(s string) error {
	return fmt.Errorf("relay: %.80q is not an event id; send the id of the last event received, unchanged", s)
}

// tagBytes is the length of the part of a stream id that ties it to an
// organisation.
const tagBytes = 8

// NewStreamID draws the id of a stream for the organisation, "nonce-tag-node".
// The nonce cannot be guessed, and the tag is of the organisation: with only an
// unguessable id, whoever saw another organisation's event id could read its
// answer. The node is the one that asks the engine for the stream.
func NewStreamID(org fleet.Organisation, node fleet.VM) string {
	var b [16]byte
	rand.Read(b[:]) // never fails
	nonce := hex.EncodeToString(b[:])
	return nonce + "-" + tag(org, nonce) + "-" + string(node)
}

// Owns reports whether the stream id was drawn for the organisation. Another
// tag under the same nonce names a stream that no engine has.
func Owns(org fleet.Organisation, stream string) bool {
	parts := strings.SplitN(stream, "-", 3)
	return len(parts) == 3 && parts[1] == tag(org, parts[0])
}

// NodeOf returns the node that asked the engine for the stream.
func NodeOf(stream string) fleet.VM {
	parts := strings.SplitN(stream, "-", 3)
	if len(parts) < 3 {
		return ""
	}
	return fleet.VM(parts[2])
}

func tag(org fleet.Organisation, nonce string) string {
	sum := sha256.Sum256([]byte(nonce + "\x00" + string(org)))
	return hex.EncodeToString(sum[:tagBytes])
}
