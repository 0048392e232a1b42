package quarantine

import (
	"slices"
	"sync"
)

// run is a run of a request that is in flight at this node.
type run struct {
	mu     sync.Mutex
	recall func() // cancels the run, so that it can be made again later; nil: the run must not be cancelled, or has ended
}

func (r *run) markEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recall = nil
}

// tryRecall cancels the run if that is possible, and reports whether it did.
func (r *run) tryRecall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recall == nil {
		return false
	}
	r.recall()
	return true
}

// BeginRun records the start of a run and returns the function that records its end. recall is
// called if the request becomes a suspect and another run continues; nil: the run must not be
// cancelled, since the request may not run again.
func (g *Guard) BeginRun(fp Fingerprint, recall func()) (end func()) {
	r := &run{recall: recall}
	g.mu.Lock()
	g.runs[fp] = append(g.runs[fp], r)
	g.mu.Unlock()
	return func() {
		r.markEnded()
		g.mu.Lock()
		defer g.mu.Unlock()
		remaining := slices.DeleteFunc(g.runs[fp], func(o *run) bool { return o == r })
		if len(remaining) == 0 {
			delete(g.runs, fp)
			return
		}
		g.runs[fp] = remaining
	}
}

// keepOneRun recalls the runs of a suspect that are in flight here, except the oldest one if
// this node has the trial run or could not request it. A request that clients send many times at
// once would otherwise crash an endpoint with each of them.
func (g *Guard) keepOneRun(v Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, runs := g.bans[v.Fingerprint], slices.Clone(g.runs[v.Fingerprint])
	if b == nil || len(runs) == 0 || g.ctx.Err() != nil {
		return
	}
	b.trialRequestedAt = g.Clock.Now()
	g.work.Go(func() {
		granted, err := g.acquireTrial(g.ctx, b, v)
		if granted || err != nil {
			runs = runs[1:]
		}
		g.recallRuns(v.Fingerprint, runs)
	})
}

func (g *Guard) recallRuns(fp Fingerprint, runs []*run) {
	recalled := 0
	for _, r := range runs {
		if r.tryRecall() {
			recalled++
		}
	}
	if recalled > 0 {
		g.Log.Info("runs of a suspect recalled", "fingerprint", fp, "runs", recalled)
	}
}
