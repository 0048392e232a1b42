package quarantine

import (
	"context"
	"maps"
	"time"

	"chervilloom/internal/clock"
)

// ban is a request that is refused, or that runs one at a time.
type ban struct {
	Verdict
	since   clock.Instant // when this node heard
	asked   clock.Instant // when a node last asked for its try, as far as known; 0: never
	tries   bool          // this node makes the try
	sound   soundCounts   // told since
	kept    bool          // it is among those that are kept for all nodes
	gone    clock.Instant // when it was first missing among them; 0: it isn't
	changed chan struct{} // closed when a suspect is found harmful, or is none any more
}

// due reports whether a run of the request may be asked for.
func (b *ban) due(now clock.Instant) bool {
	if b.Suspect {
		return b.asked == 0 || now.Sub(b.asked) > suspectPause
	}
	return now.Sub(b.since) > banFor && (b.asked == 0 || now.Sub(b.asked) > tryPause)
}

const (
	// mostBans bounds the requests that are refused; the oldest is let go first. A store's
	// page holds that many rows beside those of 200 nodes.
	mostBans = 256
	// mostSuspects bounds the suspects among them, so that they push out no request that was
	// found harmful. More at once come from a loss of many endpoints.
	mostSuspects = 64
	// rowGone is for how long a request must be missing among those kept to be taken for
	// lifted: nodes hand on what they have read with ages of up to 2.2 s.
	rowGone = 5 * time.Second
	// foundLate is for how long after a lift the word of the finding before it may still come.
	foundLate = time.Second
)

// try asks for the one run of a suspect, or of a request whose time is over.
func (g *Guard) try(ctx context.Context, b *ban, v Verdict) (granted bool, err error) {
	v.Tries++
	granted, err = g.Try(ctx, v)
	if err != nil {
		g.Log.Info("request is not tried", "suspect", v.Suspect, "fingerprint", v.Fingerprint, "err", err)
	}
	if !granted {
		return false, err
	}
	g.mu.Lock()
	b.Verdict, b.since, b.tries = v, g.Clock.Now(), true
	g.mu.Unlock()
	g.Log.Info("quarantined request is tried", "suspect", v.Suspect, "fingerprint", v.Fingerprint, "ends", v.Ends, "tries", v.Tries)
	return true, nil
}

// Sound notes a run that ended well.
func (g *Guard) Sound(fp Fingerprint) {
	g.mu.Lock()
	g.history.add(fp, g.Clock.Now())
	b, runs := g.bans[fp], g.history.runs(fp)
	tried := b != nil && b.tries
	suspect := b != nil && b.Suspect
	g.mu.Unlock()
	switch {
	case suspect:
		g.release(fp, "a run of it ended well")
	case tried:
		g.lift(fp, "a run of it ended well")
	case b != nil:
		g.tellSound(fp, runs)
	}
}

// tellSound tells how often a request ran well here that was found harmful: many clients
// may send the same one all day, and some nodes have seen none of its ends.
func (g *Guard) tellSound(fp Fingerprint, runs int) {
	m := Message{Node: g.Node, Sound: &SoundRuns{fp, runs}}
	g.Hear(m)
	g.Tell(m)
}

// answer tells how often a request ran well here, if it did.
func (g *Guard) answer(fp Fingerprint) {
	g.mu.Lock()
	runs := g.history.runs(fp)
	g.mu.Unlock()
	if runs > 0 {
		g.tellSound(fp, runs)
	}
}

// TakeKept takes up the requests that are kept for all nodes. One that was among them and
// stays away was lifted by another node.
func (g *Guard) TakeKept(kept []Verdict) {
	now := g.Clock.Now()
	there := map[Fingerprint]bool{}
	for _, v := range kept {
		if g.outdated(v, now) {
			continue
		}
		there[v.Fingerprint] = true
		g.ban(v, "kept")
	}
	var gone []Fingerprint
	g.mu.Lock()
	for fp, b := range g.bans {
		switch {
		case there[fp]:
			b.kept, b.gone = true, 0
		case b.kept && b.gone == 0:
			b.gone = now
		case b.kept && now.Sub(b.gone) > rowGone:
			gone = append(gone, fp)
		}
	}
	g.mu.Unlock()
	for _, fp := range gone {
		const reason = "it is kept no more"
		if !g.free(fp, reason) {
			g.unban(fp, reason)
		}
	}
}

// outdated reports whether what is kept of a request is older than what this node knows:
// it is found harmful since, is no suspect any more, or its quarantine was lifted.
func (g *Guard) outdated(kept Verdict, now clock.Instant) bool {
	if g.liftedWithin(kept.Fingerprint, rowGone, now) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !kept.Suspect {
		return false
	}
	at, freed := g.freed[kept.Fingerprint]
	return g.isFound(kept.Fingerprint) || freed && now.Sub(at) < rowGone
}

// liftedWithin reports whether the request's quarantine was lifted at most d ago.
func (g *Guard) liftedWithin(fp Fingerprint, d time.Duration, now clock.Instant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, lifted := g.lifted[fp]
	return lifted && now.Sub(at) < d
}

// Knows reports whether the request is refused here, or runs one at a time.
func (g *Guard) Knows(fp Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bans[fp] != nil
}

// Restored has the requests kept anew that were kept before the platform's table came back
// from an older copy: their rows are gone, and nobody has lifted them.
func (g *Guard) Restored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.bans {
		b.kept, b.gone = false, 0
	}
}

// Banned is a request that is refused, for how long it has been, and whether it was among
// those that are kept for all nodes.
type Banned struct {
	Verdict
	Age  time.Duration
	Kept bool
}

// Over reports whether the request is to be forgotten.
func (b Banned) Over() bool { return b.Age > b.memory() }

// memory is how long the request is remembered for which no try is asked.
func (v Verdict) memory() time.Duration {
	if v.Suspect {
		return suspectFor
	}
	return forgetAfter
}

// Banned returns the requests that are refused.
func (g *Guard) Banned() []Banned {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Banned, 0, len(g.bans))
	for _, b := range g.bans {
		out = append(out, Banned{b.Verdict, now.Sub(b.since), b.kept})
	}
	return out
}

// ban refuses a request from now on, or has it run one at a time.
func (g *Guard) ban(v Verdict, source string) {
	now := g.Clock.Now()
	g.mu.Lock()
	b := g.bans[v.Fingerprint]
	if b != nil && b.Suspect == v.Suspect || b != nil && v.Suspect {
		if b.Suspect == v.Suspect && v.Tries > b.Tries {
			b.Verdict, b.since, b.asked = v, now, now // another node tries it
		}
		g.mu.Unlock()
		return
	}
	if v.Suspect && g.suspects() >= mostSuspects {
		g.mu.Unlock()
		return
	}
	if b == nil && len(g.bans) >= mostBans {
		g.dropOldest()
	}
	g.remove(v.Fingerprint)
	g.bans[v.Fingerprint] = &ban{Verdict: v, since: now, sound: soundCounts{}, changed: make(chan struct{})}
	runs := g.history.runs(v.Fingerprint)
	g.mu.Unlock()
	if v.Suspect {
		g.metrics.suspects.Inc()
		g.Log.Info("request runs one at a time", "fingerprint", v.Fingerprint, "ends", v.Ends, "attempts", v.Attempts, "source", source)
		g.keepOneRun(v)
	} else {
		g.metrics.found.Inc()
		g.Log.Warn("request is quarantined", "fingerprint", v.Fingerprint, "ends", v.Ends, "attempts", v.Attempts, "source", source, "for_ms", banFor.Milliseconds())
	}
	if runs > 0 {
		g.tellSound(v.Fingerprint, runs)
	}
}

// remove forgets a ban and wakes the requests that wait for its end.
func (g *Guard) remove(fp Fingerprint) {
	if b := g.bans[fp]; b != nil {
		close(b.changed)
		delete(g.bans, fp)
	}
}

// suspects returns how many requests run one at a time.
func (g *Guard) suspects() int {
	n := 0
	for _, b := range g.bans {
		if b.Suspect {
			n++
		}
	}
	return n
}

func (g *Guard) dropOldest() {
	var oldest Fingerprint
	for fp, b := range g.bans {
		if o := g.bans[oldest]; o == nil || b.since.Before(o.since) {
			oldest = fp
		}
	}
	g.remove(oldest)
}

// lift ends the quarantine of a request at all nodes.
func (g *Guard) lift(fp Fingerprint, reason string) {
	if !g.unban(fp, reason) {
		return
	}
	g.Announce(Message{Node: g.Node, Lifted: []Fingerprint{fp}})
	if g.Drop != nil {
		g.Drop(fp)
	}
}

// unban reports whether the request was refused until now.
func (g *Guard) unban(fp Fingerprint, reason string) bool {
	g.mu.Lock()
	b := g.bans[fp]
	g.remove(fp)
	g.tally.Clear(fp)
	g.lifted[fp] = g.Clock.Now()
	g.mu.Unlock()
	if b != nil {
		g.Log.Info("request is quarantined no more", "fingerprint", fp, "reason", reason)
	}
	return b != nil
}

// expire forgets the requests that are over and that nobody else keeps.
func (g *Guard) expire(now clock.Instant) {
	for fp, b := range g.bans {
		if !b.kept && now.Sub(b.since) > b.memory() {
			g.remove(fp)
			g.Log.Info("request is quarantined no more", "fingerprint", fp, "reason", "its time is over")
		}
	}
	for _, over := range []map[Fingerprint]clock.Instant{g.freed, g.lifted} {
		maps.DeleteFunc(over, func(_ Fingerprint, at clock.Instant) bool { return now.Sub(at) > rowGone })
	}
}
