package quarantine

import (
	"context"
	"time"

	"chervilloom/internal/clock"
)

// The evidence on which a request is a suspect. Its runs are made one at a time over all
// nodes until one ends well or it is found harmful: client attempts that come at the same
// moment would each end one endpoint more before the first of them tells anything.
const (
	// suspectEnds is how many ends it must have seen that nothing else explains, over at
	// least suspectAttempts client attempts.
	suspectEnds     = 2
	suspectAttempts = 2
	// suspectSurely is how many ends are enough for one client attempt.
	suspectSurely = 3
)

// Times of a suspect.
const (
	// suspectPause is the time after which a run of which nothing was heard allows another
	// one: its node may have ended.
	suspectPause = 2 * time.Second
	// suspectReturn is after what time a client that met another run may come back.
	suspectReturn = 500 * time.Millisecond
	// suspectWait is how long a request waits for the run of a suspect that is under way.
	suspectWait = 300 * time.Millisecond
	// suspectFor is how long a suspect is remembered that sees no further end.
	suspectFor = time.Minute
)

// Suspects returns the requests that are to run one at a time, without those that known
// holds.
func (t *Tally) Suspects(known func(Fingerprint) bool) []Verdict {
	found := map[Fingerprint]bool{}
	for fp := range t.byPrint {
		if known(fp) {
			found[fp] = true
		}
	}
	var out []Verdict
	for fp, s := range t.byPrint {
		if found[fp] || len(s.ends) < suspectEnds || s.harmless() {
			continue
		}
		own := t.ownEnds(fp, found)
		v := Verdict{Fingerprint: fp, Ends: len(own), Attempts: len(s.attempts), Suspect: true}
		if suspicious(v) && own[len(own)-1].at.After(s.released) {
			out = append(out, v)
		}
	}
	return out
}

func suspicious(v Verdict) bool {
	return v.Ends >= suspectSurely || v.Ends >= suspectEnds && v.Attempts >= suspectAttempts
}

// Release has the request run freely until it sees another end.
func (t *Tally) Release(fp Fingerprint, now clock.Instant) {
	if s := t.byPrint[fp]; s != nil {
		s.released = now
	}
}

// awaitRun waits for the run of a suspect that is under way, until a time at most.
func (g *Guard) awaitRun(ctx context.Context, fp Fingerprint, until clock.Instant) {
	g.mu.Lock()
	b, now := g.bans[fp], g.Clock.Now()
	if b == nil || !b.Suspect || b.due(now) {
		g.mu.Unlock()
		return
	}
	wait := min(until.Sub(now), suspectPause-now.Sub(b.asked))
	changed := b.changed
	g.mu.Unlock()
	limit := time.NewTimer(wait)
	defer limit.Stop()
	select {
	case <-changed:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// release ends the suspicion against a request at all nodes, and reports whether there was
// one.
func (g *Guard) release(fp Fingerprint, reason string) bool {
	if !g.free(fp, reason) {
		return false
	}
	g.Announce(Message{Node: g.Node, Released: []Fingerprint{fp}})
	if g.Drop != nil {
		g.Drop(fp)
	}
	return true
}

// free reports whether the request was a suspect until now.
func (g *Guard) free(fp Fingerprint, reason string) bool {
	g.mu.Lock()
	g.tally.Release(fp, g.Clock.Now())
	b := g.bans[fp]
	if b == nil || !b.Suspect {
		g.mu.Unlock()
		return false
	}
	g.remove(fp)
	g.freed[fp] = g.Clock.Now()
	g.mu.Unlock()
	g.Log.Info("request is no suspect any more", "fingerprint", fp, "reason", reason)
	return true
}
