package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// Predicted is a candidate with the prediction of a request's times there.
type Predicted struct {
	Candidate
	First time.Duration // until the first event
	Pause time.Duration // longest pause between two events
	Pace  float64       // slowdown, 1: usual; see EffectivePace
	Trial bool          // slow, and due for a request that finds out whether it still is
}

// Need is how soon a request needs its events.
type Need struct {
	First time.Duration // time left until the first event
	Pause time.Duration // longest acceptable pause between two events
}

// NoLimit is the value of a need that does not limit the choice.
const NoLimit time.Duration = math.MaxInt64

// Reasons returned by PickPredicted, in addition to those of Pick.
const (
	ChosenInTime   Reason = "in time with the least delay of others"
	ChosenEarliest Reason = "earliest first event"
	ChosenTrial    Reason = "trial of a slow endpoint"
)

const (
	// slowPace is the pace from which an endpoint is slow. Slow members have a pace of 2 or more;
	// the pace that a measured gap implies varies by less than this around 1.
	slowPace = 1.5
	// gapTolerance is the factor by which a usual gap may differ from the predicted pause in either
	// direction: the pause includes prompts that other passes read, and a pass may read many.
	gapTolerance = 2
)

// EffectivePace returns the pace of an endpoint according to its reported pace and the gap measured
// there. usualPause is the longest pause between events predicted for its load at a pace of 1.
// Reports of busy engines are up to four seconds old, so a measured gap limits the reported pace: a
// group that has recovered is usable as soon as its streams show it. A pace that is not a number
// above 1 counts as 1, and a gap of 0 as unknown.
func EffectivePace(reported float64, gap, usualPause time.Duration) float64 {
	pace := 1.0
	if reported > 1 && !math.IsInf(reported, 1) {
		pace = reported
	}
	if gap <= 0 || usualPause <= 0 {
		return pace
	}
	ratio := float64(gap) / float64(usualPause)
	if ratio > gapTolerance {
		pace = max(pace, ratio)
	}
	return min(pace, max(1, gapTolerance*ratio))
}

// IsSlow reports whether the endpoint is chosen only without another that will be in time.
func (c *Predicted) IsSlow() bool { return c.Pace >= slowPace }

func (c *Predicted) isInTime(n Need) bool { return c.First <= n.First && c.Pause <= n.Pause }

// delayOfOthers returns a measure of how long a request delays the others at the candidate: each of
// them waits while its prompt is read and for its share of each step, both longer on a slow group.
// It includes the bounds' weights as the score of Pick does.
func (c *Predicted) delayOfOthers(b Bounds) float64 {
	at := c.Candidate
	at.Load *= max(1, c.Pace)
	at.Unread *= max(1, c.Pace)
	return score(&at, b)
}

// maxSamples is the number of local samples in which a request looks for an endpoint that will be in
// time. With all of them, each node would send all of its requests to the only endpoint in
// time, for example one that has just opened, and overload it before the next board.
const maxSamples = 3

// stage is a set of candidates among which a choice is made; the later ones are for requests that
// find nothing in the earlier ones.
type stage struct {
	pace          paceFilter
	avoided       bool // include candidates to avoid
	confirmedOnly bool // count only the confirmed load of candidates
}

// paceFilter selects candidates by whether they are slow.
type paceFilter int

const (
	usualPace paceFilter = iota
	slowOnly
	anyPace
)

func (f paceFilter) includes(slow bool) bool { return f == anyPace || slow == (f == slowOnly) }

// PickPredicted returns the index of the candidate for a request, or -1, and the reason. Among random
// samples it takes the candidate that will be in time and delays other requests least. If none
// will be in time, it takes the one with the earliest first event of a single sample, so that
// the nodes of a zone do not all send to the same endpoint. Candidates that are full, suspect,
// to avoid or were tried before are treated as by Pick. A slow candidate is chosen only if no other
// one will be in time, or for a trial.
func PickPredicted(cands []Predicted, b Bounds, need Need, seed int) (int, Reason) {
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(len(cands))))
	for i := range cands {
		if c := &cands[i]; c.Trial && !c.Tried && !c.Suspect && !c.Avoid && !c.isFull(b, false) {
			return i, ChosenTrial
		}
	}
	for _, st := range []stage{{pace: usualPace}, {pace: slowOnly}} {
		if s, _ := eligible(cands, b, rng, st); s.size() > 0 {
			if i := s.leastDelay(cands, b, need); i >= 0 {
				return i, ChosenInTime
			}
		}
	}
	reason := NoCandidate
	for _, st := range []stage{{pace: usualPace}, {pace: anyPace}, {pace: anyPace, avoided: true}, {pace: anyPace, avoided: true, confirmedOnly: true}} {
		if st.confirmedOnly && reason != AllFull {
			break
		}
		var s samples
		if s, reason = eligible(cands, b, rng, st); s.size() > 0 {
			return s.earliest(cands, b), ChosenEarliest
		}
	}
	return -1, reason
}

// samples are the indexes of eligible candidates in random order, compared n at a time.
type samples struct {
	local, remote []int
	n             int
}

func (s *samples) size() int { return len(s.local) + len(s.remote) }

func eligible(cands []Predicted, b Bounds, rng *rand.Rand, st stage) (samples, Reason) {
	s, reason := samples{n: b.SampleSize}, NoCandidate
	if s.n <= 0 {
		s.n = len(cands)
	}
	for i := range cands {
		c := &cands[i]
		switch {
		case c.Tried || c.Suspect || c.Avoid && !st.avoided || !st.pace.includes(c.IsSlow()):
		case c.isFull(b, st.confirmedOnly):
			reason = AllFull
		case c.Local:
			s.local = append(s.local, i)
		default:
			s.remote = append(s.remote, i)
		}
	}
	for _, indexes := range [][]int{s.local, s.remote} {
		rng.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
	}
	return s, reason
}

// leastDelay returns the candidate that delays others least among those that will be in time, or -1.
// It compares the first of maxSamples local samples with such a candidate, and one remote sample:
// what a node knows about other zones is the same for all of a zone's endpoints.
func (s *samples) leastDelay(cands []Predicted, b Bounds, need Need) int {
	best, bestDelay := -1, math.Inf(1)
	compare := func(indexes []int) {
		for _, i := range indexes {
			if c := &cands[i]; c.isInTime(need) {
				if d := c.delayOfOthers(b); d < bestDelay {
					best, bestDelay = i, d
				}
			}
		}
	}
	for from := 0; from < min(maxSamples*s.n, len(s.local)) && best < 0; from += s.n {
		compare(s.local[from:min(from+s.n, len(s.local))])
	}
	compare(s.remote[:min(s.n, len(s.remote))])
	return best
}

// earliest returns the candidate with the earliest first event of one sample. The times of remote
// candidates are extended by RemotePenalty: otherwise a small difference between the zones' means,
// which are up to half a second old, would move the requests of a whole zone.
func (s *samples) earliest(cands []Predicted, b Bounds) int {
	best, bestFirst := -1, math.Inf(1)
	compare := func(indexes []int, factor float64) {
		for _, i := range indexes[:min(s.n, len(indexes))] {
			if first := factor * float64(cands[i].First); first < bestFirst {
				best, bestFirst = i, first
			}
		}
	}
	compare(s.local, 1)
	compare(s.remote, 1+b.RemotePenalty)
	return best
}
