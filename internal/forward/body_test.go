package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"chervilloom/internal/memory"
)

// Guards against a body that is cut off and passes for a whole one, and against one that is changed
// by the way in which it is held.
func TestBodyInPartsIsWholeOrFails(t *testing.T) {
	for _, size := range []int{1, minBodyPart - 1, minBodyPart, minBodyPart + 1, 5*maxBodyPart + 3} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			is := is.New(t)
			budget := &memory.Budget{Limit: 1 << 20}
			held := &memory.Reservation{Budget: budget}
			parts, err := readParts(iotest.OneByteReader(strings.NewReader(text)), length, held)
			is.NoErr(err)
			is.Equal(string(bytes.Join(parts, nil)), text)
			is.True(budget.Held() <= 2*int64(size)+minBodyPart+maxBodyPart)
			for _, cut := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
				_, err = readParts(io.MultiReader(strings.NewReader(text[:size-1]), iotest.ErrReader(cut)), length, held)
				is.Equal(err, cut)
			}
			held.Release()
			is.Equal(budget.Held(), int64(0))
		}
	}
}

// Guards against bodies beyond the memory for them.
func TestBodyBeyondTheMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	held := &memory.Reservation{Budget: &memory.Budget{Limit: 100 << 10}}
	_, err := readParts(strings.NewReader(strings.Repeat("b", 200<<10)), -1, held)
	is.Equal(err, memory.ErrFull)
	held.Release()
}
