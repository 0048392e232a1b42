package load

import (
	"math/rand/v2"
	"time"
)

// shot is one request of the schedule.
type shot struct {
	at      time.Duration // from the start of the run
	number  int           // from 0; stands for {n}
	request int           // index into Plan.Requests
	org     int           // index into Plan.Organisations
}

// scheduleStream is the second half of the seed of arrivals and mix.
const scheduleStream = 0x10ad

// schedule works out all requests of the run from the plan's seed.
func schedule(p *Plan) []shot {
	r := rand.New(rand.NewPCG(uint64(p.Seed), scheduleStream))
	kinds := make([]int, len(p.Requests))
	for i := range p.Requests {
		kinds[i] = p.Requests[i].Weight
	}
	orgs := make([]int, len(p.Organisations))
	for i := range p.Organisations {
		orgs[i] = p.Organisations[i].Weight
	}
	mean := float64(time.Second) / p.Rate
	var shots []shot
	at := 0.0
	for n := 0; ; n++ {
		if p.Arrivals == ArrivalsConstant {
			at = float64(n) * mean
		} else {
			at += r.ExpFloat64() * mean
		}
		if time.Duration(at) >= time.Duration(p.Duration) {
			return shots
		}
		shots = append(shots, shot{at: time.Duration(at), number: n, request: draw(r, kinds), org: draw(r, orgs)})
	}
}

// draw returns an index with a chance in proportion to its weight.
func draw(r *rand.Rand, weights []int) int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	n := r.IntN(sum)
	for i, w := range weights {
		if n < w {
			return i
		}
		n -= w
	}
	return len(weights) - 1
}
