package load

import (
	"math/rand/v2"
	"time"
)

// scheduledRequest is one scheduled request.
type scheduledRequest struct {
	offset            time.Duration // intended start, from the start of the run
	number            int           // from 0; replaces {n}
	kindIndex         int           // index into Plan.Requests
	organisationIndex int           // index into Plan.Organisations
}

// scheduleSeed is the second half of the PCG seed of arrivals and mix.
const scheduleSeed = 0x10ad

// buildSchedule computes all requests of the run from the plan and its seed.
func buildSchedule(p *Plan) []scheduledRequest {
	r := rand.New(rand.NewPCG(uint64(p.Seed), scheduleSeed))
	kindWeights := make([]int, len(p.Requests))
	for i := range p.Requests {
		kindWeights[i] = p.Requests[i].Weight
	}
	organisationWeights := make([]int, len(p.Organisations))
	for i := range p.Organisations {
		organisationWeights[i] = p.Organisations[i].Weight
	}
	meanInterval := float64(time.Second) / p.Rate
	var requests []scheduledRequest
	offset := 0.0
	for n := 0; ; n++ {
		if p.Arrivals == ArrivalsConstant {
			offset = float64(n) * meanInterval
		} else {
			offset += r.ExpFloat64() * meanInterval
		}
		if time.Duration(offset) >= time.Duration(p.Duration) {
			return requests
		}
		requests = append(requests, scheduledRequest{offset: time.Duration(offset), number: n, kindIndex: weightedIndex(r, kindWeights), organisationIndex: weightedIndex(r, organisationWeights)})
	}
}

// weightedIndex returns a random index, with probabilities in proportion to the weights.
func weightedIndex(r *rand.Rand, weights []int) int {
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
