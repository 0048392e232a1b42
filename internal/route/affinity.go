package route

import "chervilloom/internal/engine"

const (
	trustCached = 0.95 // cache events tell of the prefix
	trustRecent = 0.9  // this node sent the prefix there lately
	trustHome   = 0.4  // nobody knows of the prefix; all nodes send it there
	homeBound   = 1.25 // load over the mean up to which the home is preferred
)

// creditPrefixes adds the time to compute what of the prompt is not cached to
// the cost of each candidate. It is a hint: a full cache holder loses against
// a free group as soon as waiting costs more than computing the prompt.
func (d *decision) creditPrefixes(cands []candidate, mean float64) {
	d.creditRecent(cands)
	near := nearEqual * d.c.lanes[cands[0].entry].service
	home := d.home(cands)
	d.creditPrefix(&cands[home], true, mean)
	least := cands[home].cost
	for i := range cands {
		k := &cands[i]
		if i == home || k.cost > least+near { // too dear even with all of the prompt cached
			continue
		}
		d.creditPrefix(k, false, mean)
		least = min(least, k.cost)
	}
}

func (d *decision) creditPrefix(k *candidate, home bool, mean float64) {
	k.share = max(k.share, trustCached*d.match(d.t.entries[k.entry].group.Prefixes))
	if k.share > 0 {
		k.reason = reasonPrefix
	}
	if home && k.share < trustHome && k.load <= homeBound*mean+1 {
		k.share, k.reason = trustHome, reasonHome
	}
	k.uncached = float64(d.f.PromptTokens) * (1 - k.share)
	k.cost += k.uncached * d.c.lanes[k.entry].prefill
}

// match returns the share of the prompt whose prefix is in the set. A cache that
// holds a prefix holds the shorter ones too, so the longest is found by halving,
// after the two ends, which settle most cases.
func (d *decision) match(set map[uint64]struct{}) float64 {
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
	return coverage(lo, n)
}

// covered holds the bytes that the first n prefixes of a prompt cover: blocks
// grow with their distance from the start, so that the number of prefixes alone
// would make a match of the first half look like half of a long prompt.
var covered = func() (c [engine.MaxPrefixes + 1]float64) {
	for n := range c {
		c[n] = float64(engine.PrefixBytes(n))
	}
	return c
}()

// coverage returns the share of a prompt of n prefixes that the first lo cover.
func coverage(lo, n int) float64 {
	return covered[min(lo, engine.MaxPrefixes)] / covered[min(n, engine.MaxPrefixes)]
}

// creditRecent gives the candidates their share of the prompt that this node
// sent there lately, whose cache events may still be on their way.
func (d *decision) creditRecent(cands []candidate) {
	for n := len(d.f.Prefix); n > 0; n-- {
		s := d.c.recentAt(d.f.Prefix[n-1])
		if s == nil {
			continue
		}
		for i := range cands {
			if d.c.lanes[cands[i].entry].s == s {
				cands[i].share = max(cands[i].share, trustRecent*coverage(n, len(d.f.Prefix)))
			}
		}
	}
}

// home returns the candidate that comes first in rendezvous order for the
// prompt's leading prefix: the same on every node, whatever each knows.
func (d *decision) home(cands []candidate) int {
	best, most := 0, uint64(0)
	for i := range cands {
		if w := d.affinity(d.t.entries[cands[i].entry].hash); w >= most {
			best, most = i, w
		}
	}
	return best
}

func (d *decision) affinity(name uint64) uint64 { return mix(d.f.Prefix[0] ^ name) }

// prefixPlaces adds the entries of a large pool where the prompt's prefix is
// looked for first: those that this node sent it to and its rendezvous home.
func (d *decision) prefixPlaces(into []candidate) []candidate {
	const places = scanLimit - sampleSize - 1
	for n := len(d.f.Prefix); n > 0 && len(into) < places; n-- {
		s := d.c.recentAt(d.f.Prefix[n-1])
		if s == nil || !d.local(s) || has(into, s.entry) {
			continue
		}
		into = d.consider(into, s.entry, reasonPrefix)
	}
	best, most := d.p.local[0], uint64(0)
	for k, name := range d.p.hashes {
		if w := d.affinity(name); w >= most && d.can(d.p.local[k]) {
			best, most = d.p.local[k], w
		}
	}
	if !has(into, best) {
		into = d.consider(into, best, reasonHome)
	}
	return into
}

// local reports whether the state is that of an entry of this pool.
func (d *decision) local(s *state) bool {
	i := s.entry
	if i < 0 || int(i) >= len(d.c.lanes) || d.c.lanes[i].s != s {
		return false
	}
	for _, j := range d.p.local {
		if j == i {
			return true
		}
	}
	return false
}

func has(cands []candidate, entry int32) bool {
	for i := range cands {
		if cands[i].entry == entry {
			return true
		}
	}
	return false
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
