package capacity

import "math"

// costModel holds the parameters of the expected cost of a number of replicas.
type costModel struct {
	missingCost        float64 // cost per second of one missing replica
	idleCost           float64 // cost per second of one replica that is not required
	outageFraction     float64 // fraction of time for which a replica is down
	requestsPerReplica float64 // requests in flight that one replica serves
}

const (
	// maxOutages limits the number of replicas that are assumed down at the same
	// time; with usual outage fractions, more have a negligible probability.
	maxOutages = 4
	// negligible is the tail probability at which the distribution of the
	// required replicas is truncated.
	negligible = 1e-6
)

// expectedCosts returns the expected cost per second of 0 to maxReplicas replicas.
func (c *costModel) expectedCosts(maxReplicas int, f forecast) []float64 {
	required := c.requiredDistribution(f)
	costByServing := make([]float64, maxReplicas+1) // cost by number of serving replicas
	for n := range costByServing {
		for replicas, p := range required {
			costByServing[n] += p * c.mismatchCost(n, replicas)
		}
	}
	out := make([]float64, maxReplicas+1)
	for n := range out {
		remaining := 1.0
		for down := 0; down <= min(n, maxOutages); down++ {
			p := binomial(n, down, c.outageFraction)
			remaining -= p
			out[n] += p * costByServing[n-down]
		}
		out[n] += max(0, remaining) * costByServing[max(0, n-maxOutages-1)]
	}
	return out
}

func (c *costModel) mismatchCost(serving, required int) float64 {
	if serving < required {
		return c.missingCost * float64(required-serving)
	}
	return c.idleCost * float64(serving-required)
}

// requiredDistribution returns the probabilities that exactly 0, 1, 2 ... replicas
// are required. The replicas that the expected demand fills are required with
// certainty: under a high weight of stranding, a larger but less certain demand
// would otherwise get fewer replicas than a smaller one.
func (c *costModel) requiredDistribution(f forecast) []float64 {
	certain := int(f.mean / c.requestsPerReplica)
	out := make([]float64, certain, certain+8)
	cumulative := 0.0
	for k := certain; cumulative < 1-negligible; k++ {
		p := c.probabilitySufficient(k, f)
		out = append(out, p-cumulative)
		cumulative = p
	}
	return out
}

// probabilitySufficient returns the probability that k replicas serve the demand,
// which is assumed to have a normal distribution around the forecast.
func (c *costModel) probabilitySufficient(k int, f forecast) float64 {
	served := float64(k) * c.requestsPerReplica
	if f.deviation > 0 {
		return 0.5 * math.Erfc(-(served-f.mean)/(f.deviation*math.Sqrt2))
	}
	if served >= f.mean {
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
