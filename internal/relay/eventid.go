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

// StreamRef identifies a stream and where it runs. It is sufficient for any node to resume
// the stream.
type StreamRef struct {
	VM         fleet.VM
	Group      fleet.GroupID
	Generation fleet.Generation
	Stream     string // id at the engine
}

// EventID identifies the event at Offset in a stream.
type EventID struct {
	StreamRef
	Offset uint64
}

// String returns "vm.group.generation.stream:offset"; in the names percent signs, dots,
// colons, line breaks and NUL are escaped.
func (e EventID) String() string {
	return e.prefix() + strconv.FormatUint(e.Offset, 10)
}

// prefix returns the part of the event id that is common to all events of a stream.
func (r StreamRef) prefix() string {
	return escape(string(r.VM)) + "." + escape(string(r.Group)) + "." +
		strconv.FormatUint(uint64(r.Generation), 10) + "." + escape(r.Stream) + ":"
}

var escaper = strings.NewReplacer("%", "%25", ".", "%2E", ":", "%3A", "\n", "%0A", "\r", "%0D", "\x00", "%00")

// escape percent-encodes the separators of event ids and the characters that end a line.
func escape(s string) string { return escaper.Replace(s) }

// ParseEventID parses the result of EventID.String.
func ParseEventID(s string) (EventID, error) {
	place, offset, ok := strings.Cut(s, ":")
	parts := strings.Split(place, ".")
	if !ok || len(parts) != 4 {
		return EventID{}, eventIDError(s)
	}
	var id EventID
	var err error
	if id.Offset, err = strconv.ParseUint(offset, 10, 64); err != nil {
		return EventID{}, eventIDError(s)
	}
	gen, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return EventID{}, eventIDError(s)
	}
	names := [3]string{parts[0], parts[1], parts[3]}
	for i, n := range names {
		if names[i], err = url.PathUnescape(n); err != nil || names[i] == "" {
			return EventID{}, eventIDError(s)
		}
	}
	id.VM, id.Group, id.Stream = fleet.VM(names[0]), fleet.GroupID(names[1]), names[2]
	id.Generation = fleet.Generation(gen)
	return id, nil
}

func eventIDError(s string) error {
	return fmt.Errorf("relay: %.80q is not an event id; send the id of the last event received, unchanged", s)
}

// organisationTagBytes is the number of bytes of the organisation's hash in a stream id.
const organisationTagBytes = 8

// NewStreamID returns a new stream id for the organisation, "nonce-tag-node". The nonce is
// unguessable. The tag depends on the organisation: without it, anyone who saw an event id of
// another organisation could read its response. The node is the one that requests the stream
// from the engine.
func NewStreamID(org fleet.Organisation, node fleet.VM) string {
	var b [16]byte
	rand.Read(b[:]) // never fails
	nonce := hex.EncodeToString(b[:])
	return nonce + "-" + organisationTag(org, nonce) + "-" + string(node)
}

// OwnsStream reports whether the stream id was created for the organisation. A forged tag does
// not help: no engine has a stream with that nonce and another tag.
func OwnsStream(org fleet.Organisation, stream string) bool {
	parts := strings.SplitN(stream, "-", 3)
	return len(parts) == 3 && parts[1] == organisationTag(org, parts[0])
}

// RequestingNode returns the node that requested the stream from the engine, or "" for a malformed
// stream id.
func RequestingNode(stream string) fleet.VM {
	parts := strings.SplitN(stream, "-", 3)
	if len(parts) < 3 {
		return ""
	}
	return fleet.VM(parts[2])
}

// organisationTag returns the hash that binds a stream id with this nonce to the organisation.
func organisationTag(org fleet.Organisation, nonce string) string {
	sum := sha256.Sum256([]byte(nonce + "\x00" + string(org)))
	return hex.EncodeToString(sum[:organisationTagBytes])
}
