package route

const (
	trustCached = 0.9  // cache events tell of the prefix
	trustRecent = 0.8  // this node sent the prefix there lately
	trustHome   = 0.35 // nobody knows of the prefix; all nodes send it there
	homeBound   = 1.25 // load over the mean up to which the home is preferred
)

// creditPrefixes takes the prompt tokens that are expected to be cached off the
// cost of each candidate. It is a hint: a full cache holder loses against a
// free group as soon as waiting costs more than computing the prompt.
func (d *decision) creditPrefixes(cands []candidate, mean float64) {
	if len(d.f.Prefix) == 0 || d.f.PromptTokens == 0 {
		return
	}
	home := d.home(cands)
	for i := range cands {
		k := &cands[i]
		share := d.cached(k)
		if share > 0 {
			k.reason = reasonPrefix
		}
		if i == home && share < trustHome && k.load <= homeBound*mean+1 {
			share = trustHome
			k.reason = reasonHome
		}
		k.uncached = float64(d.f.PromptTokens) * (1 - share)
		s := d.c.entries[k.entry]
		k.cost += k.uncached * d.c.byClass[d.t.entries[k.entry].class].prefill * s.slow
	}
}

// cached returns the share of the prompt expected in the candidate's cache.
func (d *decision) cached(k *candidate) float64 {
	known := trustCached * d.match(d.t.entries[k.entry].group.Prefixes)
	return max(known, trustRecent*d.recentMatch(d.c.entries[k.entry]))
}

// match returns the share of the prompt whose prefix is in the set. A cache that
// holds a prefix holds the shorter ones too, so the longest is found by halving.
func (d *decision) match(set map[uint64]struct{}) float64 {
	if len(set) == 0 {
		return 0
	}
	lo, hi := 0, len(d.f.Prefix)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if _, ok := set[d.f.Prefix[mid-1]]; ok {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return float64(lo) / float64(len(d.f.Prefix))
}

// recentMatch returns the share of the prompt that this node sent to s lately.
func (d *decision) recentMatch(s *state) float64 {
	for n := len(d.f.Prefix); n > 0; n-- {
		h := d.f.Prefix[n-1]
		if r := &d.c.recent[h%recentSlots]; r.hash == h && r.on == s {
			return float64(n) / float64(len(d.f.Prefix))
		}
	}
	return 0
}

// home returns the candidate that comes first in rendezvous order for the
// prompt's leading prefix: the same on every node, whatever each knows.
func (d *decision) home(cands []candidate) int {
	best, most := 0, uint64(0)
	for i := range cands {
		if w := mix(d.f.Prefix[0] ^ d.t.entries[cands[i].entry].hash); w >= most {
			best, most = i, w
		}
	}
	return best
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
