package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/answer"
)

// summary follows an answer's data frames: both ends of a hop keep one, and the
// answer is whole only when the two agree.
type summary struct {
	stream bool
	first  uint64 // offset of the first frame
	next   uint64 // offset that the next frame must have
	frames uint64
	bytes  uint64
	hash   *xxhash.Digest
}

func newSummary(stream bool) summary { return summary{stream: stream, hash: xxhash.New()} }

// add takes the next frame. A stream's offsets count events, a body's bytes. A
// resumed stream may begin at any offset.
func (s *summary) add(f *answer.Frame) error {
	switch {
	case s.frames == 0 && (s.stream || f.Offset == 0):
		s.first, s.next = f.Offset, f.Offset
	case f.Offset != s.next:
		return fmt.Errorf("%w: a frame at offset %d where %d follows", errFrame, f.Offset, s.next)
	}
	s.frames++
	s.bytes += uint64(len(f.Data))
	s.next += s.step(f)
	s.hash.Write(f.Data)
	return nil
}

func (s *summary) step(f *answer.Frame) uint64 {
	if s.stream {
		return 1
	}
	return uint64(len(f.Data))
}

func (s *summary) end() endFrame {
	return endFrame{First: s.first, Frames: s.frames, Bytes: s.bytes, Hash: s.hash.Sum64()}
}

// matches compares the summary with the other side's.
func (s *summary) matches(e *endFrame) error {
	mine := s.end()
	if mine.First == e.First && mine.Frames == e.Frames && mine.Bytes == e.Bytes && mine.Hash == e.Hash {
		return nil
	}
	return fmt.Errorf("%w: %d frames and %d bytes from offset %d arrived of %d and %d from %d, or with other content",
		errFrame, mine.Frames, mine.Bytes, mine.First, e.Frames, e.Bytes, e.First)
}
