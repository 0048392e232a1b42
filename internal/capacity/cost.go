package capacity

import "math"

// costs holds what the expected cost of a number of replicas depends on.
type costs struct {
	downtime float64 // per second in which one needed replica is missing
	idle     float64 // per second in which one replica is not needed
	outage   float64 // share of the time that a replica is not whole
	serves   float64 // demand that one replica serves
}

const (
	// maxOutages bounds the replicas taken to be down at once; with the shares
	// of outage that are met, more of them add nothing to a sum.
	maxOutages = 4
	// negligible is the probability at which the tail of the need is cut.
	negligible = 1e-6
)

// curve returns the expected cost of a second with 0 to most replicas.
func (c *costs) curve(most int, f forecast) []float64 {
	needs := c.needs(f)
	up := make([]float64, most+1) // cost with that many serving
	for n := range up {
		for need, p := range needs {
			up[n] += p * c.gap(n, need)
		}
	}
	out := make([]float64, most+1)
	for n := range out {
		left := 1.0
		for down := 0; down <= min(n, maxOutages); down++ {
			p := binomial(n, down, c.outage)
			left -= p
			out[n] += p * up[n-down]
		}
		out[n] += max(0, left) * up[max(0, n-maxOutages-1)]
	}
	return out
}

func (c *costs) gap(up, need int) float64 {
	if up < need {
		return c.downtime * float64(need-up)
	}
	return c.idle * float64(up-need)
}

// needs returns the probability that exactly 0, 1, 2 ... replicas are needed.
// The replicas that the expected demand fills are taken as needed for sure: an
// objective that weighs stranding much would otherwise answer a less certain
// demand with fewer replicas than a smaller one.
func (c *costs) needs(f forecast) []float64 {
	sure := int(f.mean / c.serves)
	out := make([]float64, sure, sure+8)
	before := 0.0
	for k := sure; before < 1-negligible; k++ {
		p := c.atMost(k, f)
		out = append(out, p-before)
		before = p
	}
	return out
}

// atMost returns the probability that k replicas are enough: the demand is taken
// to be normal about the forecast.
func (c *costs) atMost(k int, f forecast) float64 {
	room := float64(k) * c.serves
	if f.deviation > 0 {
		return 0.5 * math.Erfc(-(room-f.mean)/(f.deviation*math.Sqrt2))
	}
	if room >= f.mean {
		return 1
	}
	return 0
}

func binomial(n, k int, p float64) float64 {
	choose := 1.0
	for i := range k {
		choose *= float64(n-i) / float64(i+1)
	}
	return choose * math.Pow(p, float64(k)) * math.Pow(1-p, float64(n-k))
}
