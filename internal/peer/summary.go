package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/answer"
)

// summary accumulates the counts and the hash of an answer's data frames. Sender
// and receiver keep one each, and the answer is whole only if the two match.
type summary struct {
	stream bool
	first  uint64 // offset of the first frame
	next   uint64 // expected offset of the next frame
	frames uint64
	bytes  uint64
	hash   *xxhash.Digest
}

func newSummary(stream bool) summary { return summary{stream: stream, hash: xxhash.New()} }

// add adds the next frame, or returns an error if its offset is not the expected
// one. Offsets count events in a stream and bytes in a body. A resumed stream
// may start at any offset.
func (s *summary) add(f *answer.Frame) error {
	switch {
	case s.frames == 0 && (s.stream || f.Offset == 0):
		s.first, s.next = f.Offset, f.Offset
	case f.Offset != s.next:
		return fmt.Errorf("%w: data frame at offset %d, want %d", errProtocol, f.Offset, s.next)
	}
	s.frames++
	s.bytes += uint64(len(f.Data))
	s.next += s.offsetStep(f)
	s.hash.Write(f.Data)
	return nil
}

func (s *summary) offsetStep(f *answer.Frame) uint64 {
	if s.stream {
		return 1
	}
	return uint64(len(f.Data))
}

func (s *summary) end() endFrame {
	return endFrame{First: s.first, Frames: s.frames, Bytes: s.bytes, Hash: s.hash.Sum64()}
}

// verify returns an error unless the summary equals the other side's.
func (s *summary) verify(e *endFrame) error {
	own := s.end()
	if own.First == e.First && own.Frames == e.Frames && own.Bytes == e.Bytes && own.Hash == e.Hash {
		return nil
	}
	return fmt.Errorf("%w: received %d frames with %d bytes from offset %d, want %d frames with %d bytes from offset %d and the same hash",
		errProtocol, own.Frames, own.Bytes, own.First, e.Frames, e.Bytes, e.First)
}
