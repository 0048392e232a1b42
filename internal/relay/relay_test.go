package relay

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestReaderReadsEvents(t *testing.T) {
	cases := []struct {
		name, in string
		want     []Event
		err      error
	}{
		{"one", "id: 1\ndata: a\n\n", []Event{{ID: "1", Data: []byte("a")}}, io.EOF},
		{"crlf and no space", "data:a\r\n\r\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"comments between events", ": hi\n\n:x\ndata: a\n\n", []Event{{Data: []byte("a")}}, io.EOF},
		{"several data lines", "data: a\ndata: b\n\n", []Event{{Data: []byte("a\nb")}}, io.EOF},
		{"named", "event: error\ndata: x\n\n", []Event{{Name: "error", Data: []byte("x")}}, io.EOF},
		{"ends within an event", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"ends within a line", "data: a\n\ndata: b", []Event{{Data: []byte("a")}}, io.ErrUnexpectedEOF},
		{"line too long", "data: " + strings.Repeat("x", 9000) + "\n\n", nil, ErrTooLong},
		{"too many lines", strings.Repeat("data: xxxxxxxx\n", 900) + "\n", nil, ErrTooLong},
		{"longer than the buffer", "data: " + strings.Repeat("x", 5000) + "\n\n", []Event{{Data: []byte(strings.Repeat("x", 5000))}}, io.EOF},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			for _, src := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
				r := NewReader(src, 8000)
				for _, want := range tc.want {
					got, err := r.Next()
					is.NoErr(err)
					is.Equal(got, want)
				}
				_, err := r.Next()
				is.True(errors.Is(err, tc.err))
			}
		})
	}
}

// tokenEvent returns the event with token n of the stream.
func tokenEvent(stream string, n int) string {
	return fmt.Sprintf("id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d\"},\"finish_reason\":null}]}\n\n", stream, n, n)
}

// lastEvent returns the last event of the stream, with the offset n and the token count.
func lastEvent(stream string, n, count int) string {
	return fmt.Sprintf("id: %s:%d\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", stream, n, count)
}

const doneEvent = "data: [DONE]\n\n"

// readOffsets reads the stream until an error or its end and returns the offsets of the frames.
func readOffsets(s *Stream, in string) (offsets []uint64, err error) {
	r := NewReader(strings.NewReader(in), 1<<16)
	for {
		f, ok, err := s.Read(r)
		if err != nil {
			return offsets, err
		}
		if ok {
			offsets = append(offsets, f.Offset)
		}
	}
}

func TestStreamIsCompleteOnlyAfterCountAndEndMark(t *testing.T) {
	tokens := tokenEvent("s", 0) + tokenEvent("s", 1)
	cases := []struct {
		name, in string
		err      error
		resume   bool
	}{
		{"whole", tokens + lastEvent("s", 2, 2) + doneEvent, io.EOF, true},
		{"nothing", "", errIncomplete, true},
		{"no last event", tokens, errIncomplete, true},
		{"no end mark", tokens + lastEvent("s", 2, 2), errIncomplete, true},
		{"end mark without count", tokens + doneEvent, errIncomplete, true},
		{"cut within an event", tokens + "id: s:2\ndata: {", errIncomplete, true},
		{"gap", tokenEvent("s", 0) + tokenEvent("s", 2), errGap, true},
		{"count too high", tokens + lastEvent("s", 2, 3) + doneEvent, errCount, false},
		{"count too low", tokens + lastEvent("s", 2, 1) + doneEvent, errCount, false},
		{"event after the last", tokens + lastEvent("s", 2, 2) + tokenEvent("s", 3), errCount, false},
		{"event of another stream", tokenEvent("s", 0) + tokenEvent("x", 1), errForeign, false},
		{"no id", "data: {}\n\n", errForeign, false},
		{"no offset", "id: s:x\ndata: {}\n\n", errMalformed, false},
		{"error from the engine", tokenEvent("s", 0) + "event: error\ndata: {}\n\n", errEngine, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := NewStream(StreamRef{VM: "e", Group: "g", Generation: 1, Stream: "s"}, 0)
			_, err := readOffsets(s, tc.in)
			is.True(errors.Is(err, tc.err))
			is.Equal(s.IsComplete(), tc.err == io.EOF)
			is.Equal(IsResumable(err), tc.resume)
		})
	}
}

// Guards against events that are lost, duplicated or reordered in a resumed stream: the
// connection breaks at any byte, and the engine repeats events that the node already has.
func TestResumedStreamRelaysEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "tokens")
		events := make([]string, 0, n+2)
		for i := range n {
			events = append(events, tokenEvent("s", i))
		}
		events = append(events, lastEvent("s", n, n), doneEvent)
		s := NewStream(StreamRef{VM: "e", Group: "g", Stream: "s"}, 0)
		var got []uint64
		for !s.IsComplete() {
			back := rapid.IntRange(0, 3).Draw(t, "repeated")
			from := max(int(s.ResumeOffset())-back, 0)
			rest := strings.Join(events[from:], "")
			cut := rapid.IntRange(0, len(rest)).Draw(t, "cut")
			offsets, err := readOffsets(s, rest[:cut])
			if !errors.Is(err, errIncomplete) && err != io.EOF {
				t.Fatalf("from %d: %v", from, err)
			}
			got = append(got, offsets...)
		}
		for i, o := range got {
			if o != uint64(i) {
				t.Fatalf("event %d has offset %d", i, o)
			}
		}
		if len(got) != n+1 {
			t.Fatalf("got %d events, want %d", len(got), n+1)
		}
	})
}

func TestEventIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(1, 20, 60)
		id := EventID{StreamRef: StreamRef{
			VM: fleet.VM(name.Draw(t, "vm")), Group: fleet.GroupID(name.Draw(t, "group")),
			Generation: fleet.Generation(rapid.Uint64().Draw(t, "generation")), Stream: name.Draw(t, "stream"),
		}, Offset: rapid.Uint64().Draw(t, "offset")}
		got, err := ParseEventID(id.String())
		if err != nil || got != id {
			t.Fatalf("%q: %v, %+v", id.String(), err, got)
		}
		if strings.ContainsAny(id.String(), "\r\n\x00") {
			t.Fatalf("%q contains a line break or NUL", id.String())
		}
	})
}

func TestParseEventIDRefusesMalformedIDs(t *testing.T) {
	for _, s := range []string{"", "x", "a.b.1.s", "a.b.1.s:", "a.b.x.s:1", "a.b.1.s:-1", "a..1.s:1", "a.b.c.1.s:1", "a.b.1.%zz:1"} {
		is := is.New(t)
		_, err := ParseEventID(s)
		is.True(err != nil)
	}
}

func TestStreamIDIsOwnedByItsOrganisation(t *testing.T) {
	is := is.New(t)
	id := NewStreamID("sagarmatha", "entry-1")
	is.Equal(RequestingNode(id), fleet.VM("entry-1"))
	is.Equal(RequestingNode("x"), fleet.VM(""))
	is.True(OwnsStream("sagarmatha", id))
	is.True(!OwnsStream("lapwise", id))
	is.True(!OwnsStream("sagarmatha", "x"))
	is.True(id != NewStreamID("sagarmatha", "entry-1"))
}

func BenchmarkStreamEvent(b *testing.B) {
	ev := tokenEvent("s", 0)
	s := NewStream(StreamRef{VM: "e", Group: "g", Generation: 1, Stream: "s"}, 0)
	r := NewReader(&repeatingReader{text: []byte(ev)}, 1<<16)
	b.SetBytes(int64(len(ev)))
	b.ReportAllocs()
	for b.Loop() {
		s.nextOffset = 0
		if _, ok, err := s.Read(r); !ok || err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader is a reader that repeats a text endlessly.
type repeatingReader struct {
	text   []byte
	offset int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		c := copy(p[n:], r.text[r.offset:])
		n += c
		r.offset = (r.offset + c) % len(r.text)
	}
	return n, nil
}
