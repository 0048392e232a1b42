package expect

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a correction that stays off, that exceeds its bound, or that follows the
// requests at a few slow groups instead of the others. One model's must not affect another's.
func TestCorrectionFollowsMostRequests(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 4))
	learn := func(ratio, slowShare float64) float64 {
		var c Corrector
		for range 500 {
			observed := ratio * math.Exp(rnd.NormFloat64()*0.2)
			if rnd.Float64() < slowShare {
				observed *= 12
			}
			c.Observe("m", time.Second, seconds(observed))
		}
		is.Equal(c.Factor("other"), 1.0)
		return c.Factor("m")
	}
	const tolerance = 0.1
	is.True(math.Abs(learn(1, 0)-1) < tolerance)
	is.True(math.Abs(learn(1.25, 0)-1.25) < tolerance)
	is.True(math.Abs(learn(0.8, 0)-0.8) < tolerance)
	is.True(math.Abs(learn(1, 0.1)-1) < tolerance)
	is.True(math.Abs(learn(10, 0)-maxCorrection) < 1e-9)
	is.True(math.Abs(learn(0.1, 0)-1/maxCorrection) < 1e-9)
	is.Equal(Correction(0.1).Observe(0, time.Second), Correction(0.1))
	is.Equal(Correction(0.1).Observe(time.Second, -1), Correction(0.1))
}
