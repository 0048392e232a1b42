package route

import "chervilloom/internal/engine"

// Confidence that a candidate's cache holds a prefix, by source.
const (
	cachedConfidence = 0.95 // a cache event reported the prefix
	recentConfidence = 0.9  // this node recently sent the prefix there
	homeConfidence   = 0.4  // no information; all nodes send the prefix to the same group
	homeMaxLoadRatio = 1.25 // the home is preferred up to this multiple of the mean load
)

// addPrefillCosts adds the time to compute the uncached part of the prompt to the
// cost of each candidate. A full group that caches the prompt loses against a free
// one as soon as the wait exceeds the time to compute the prompt.
func (d *decision) addPrefillCosts(cands []candidate, mean float64) {
	d.setRecentShares(cands)
	near := costTolerance * d.c.entryStats[cands[0].entry].serviceTime
	home := d.homeCandidate(cands)
	d.addPrefillCost(&cands[home], true, mean)
	least := cands[home].cost
	for i := range cands {
		k := &cands[i]
		if i == home || k.cost > least+near { // too expensive even with a fully cached prompt
			continue
		}
		d.addPrefillCost(k, false, mean)
		least = min(least, k.cost)
	}
}

func (d *decision) addPrefillCost(k *candidate, home bool, mean float64) {
	k.cachedShare = max(k.cachedShare, cachedConfidence*d.cachedShare(d.t.entries[k.entry].group.Prefixes))
	if k.cachedShare > 0 {
		k.reason = reasonPrefix
	}
	if home && k.cachedShare < homeConfidence && k.expectedLoad <= homeMaxLoadRatio*mean+1 {
		k.cachedShare, k.reason = homeConfidence, reasonHome
	}
	k.uncachedTokens = float64(d.f.PromptTokens) * (1 - k.cachedShare)
	k.cost += k.uncachedTokens * d.c.entryStats[k.entry].prefillPerToken
}

// cachedShare returns the share of the prompt whose prefixes are in the set. A
// cache that contains a prefix also contains all shorter ones, so the longest is
// found by binary search. The first and the last prefix decide most cases and are
// checked before.
func (d *decision) cachedShare(set map[uint64]struct{}) float64 {
	if len(set) == 0 {
		return 0
	}
	n := len(d.f.Prefix)
	if _, ok := set[d.f.Prefix[n-1]]; ok {
		return 1
	}
	if _, ok := set[d.f.Prefix[0]]; !ok {
		return 0
	}
	lo, hi := 1, n-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if _, ok := set[d.f.Prefix[mid-1]]; ok {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return coveredShare(lo, n)
}

// coveredBytes is the number of bytes that the first n prefixes of a prompt cover.
// Blocks grow with their distance from the start, so the number of prefixes alone
// would overstate a match at the start of a long prompt.
var coveredBytes = func() (c [engine.MaxPrefixes + 1]float64) {
	for n := range c {
		c[n] = float64(engine.PrefixBytes(n))
	}
	return c
}()

// coveredShare returns the share of a prompt of n prefixes that the first lo cover.
func coveredShare(lo, n int) float64 {
	return coveredBytes[min(lo, engine.MaxPrefixes)] / coveredBytes[min(n, engine.MaxPrefixes)]
}

// setRecentShares sets the cached share of candidates to which this node recently
// sent the same prefix; their cache events may not have arrived yet.
func (d *decision) setRecentShares(cands []candidate) {
	for n := len(d.f.Prefix); n > 0; n-- {
		s := d.c.recentDestination(d.f.Prefix[n-1])
		if s == nil {
			continue
		}
		for i := range cands {
			if d.c.entryStats[cands[i].entry].state == s {
				cands[i].cachedShare = max(cands[i].cachedShare, recentConfidence*coveredShare(n, len(d.f.Prefix)))
			}
		}
	}
}

// homeCandidate returns the candidate with the highest rendezvous weight for the
// prompt's first prefix. All nodes compute the same one without exchanging state.
func (d *decision) homeCandidate(cands []candidate) int {
	best, most := 0, uint64(0)
	for i := range cands {
		if w := d.rendezvousWeight(d.t.entries[cands[i].entry].hash); w >= most {
			best, most = i, w
		}
	}
	return best
}

func (d *decision) rendezvousWeight(name uint64) uint64 { return splitMix64(d.f.Prefix[0] ^ name) }

// addPrefixCandidates adds the entries of a large pool that are likely to cache
// the prompt's prefix: those that this node sent it to, and its rendezvous home.
func (d *decision) addPrefixCandidates(cands []candidate) []candidate {
	const places = fullScanLimit - sampleSize - 1
	for n := len(d.f.Prefix); n > 0 && len(cands) < places; n-- {
		s := d.c.recentDestination(d.f.Prefix[n-1])
		if s == nil || !d.isLocal(s) || containsEntry(cands, s.entryIndex) {
			continue
		}
		cands = d.addCandidate(cands, s.entryIndex, reasonPrefix)
	}
	best, most := d.p.local[0], uint64(0)
	for k, name := range d.p.hashes {
		if w := d.rendezvousWeight(name); w >= most && d.isEligible(d.p.local[k]) {
			best, most = d.p.local[k], w
		}
	}
	if !containsEntry(cands, best) {
		cands = d.addCandidate(cands, best, reasonHome)
	}
	return cands
}

// isLocal reports whether the state belongs to a local entry of this pool.
func (d *decision) isLocal(s *state) bool {
	i := s.entryIndex
	if i < 0 || int(i) >= len(d.c.entryStats) || d.c.entryStats[i].state != s {
		return false
	}
	for _, j := range d.p.local {
		if j == i {
			return true
		}
	}
	return false
}

func containsEntry(cands []candidate, entry int32) bool {
	for i := range cands {
		if cands[i].entry == entry {
			return true
		}
	}
	return false
}

// splitMix64 is the finaliser of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
