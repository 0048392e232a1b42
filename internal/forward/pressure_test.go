package forward

import (
	"testing"

	"github.com/matryer/is"
)

func TestPressureFollowsRefusals(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{}
	is.Equal(f.Pressure("m"), 0.0)
	for range 500 {
		f.pressure.note("m", false)
		f.pressure.note("other", true)
	}
	is.True(f.Pressure("m") > 0.99)
	is.Equal(f.Pressure("other"), 0.0)
	for range 500 {
		f.pressure.note("m", true)
	}
	is.True(f.Pressure("m") < 0.01)
}
