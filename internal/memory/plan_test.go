package memory

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against parts of the memory that are bounded one by one and exceed it together.
func TestPartsStayWithinTheMemory(t *testing.T) {
	const mb = 1 << 20
	for _, total := range []int64{64 * mb, 136 * mb, 184 * mb, 284 * mb, 536 * mb, 1048 * mb} {
		t.Run(fmt.Sprint(total/mb), func(t *testing.T) {
			is := is.New(t)
			p := Divide(total)
			t.Logf("%+v", p)
			is.True(programBytes+p.live()+p.unread() <= total*9/10) // the rest is for garbage
			is.True(p.live() < p.Runtime*9/10)                      // otherwise the runtime only collects garbage
			is.True(programBytes+p.Runtime+p.unread() <= total)
			is.True(p.Held >= 4*4*mb) // a few of the largest bodies
			is.True(p.Conns >= 100)
		})
	}
}

func TestUnknownMemoryIsNotDivided(t *testing.T) {
	is.New(t).Equal(Divide(0), Plan{})
}
