package quarantine

import (
	"slices"
	"sync"
)

// run is a run of a request that is under way at this node.
type run struct {
	mu     sync.Mutex
	recall func() // ends it, so that it may be made again later; nil: it must go on, or is over
}

func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recall = nil
}

// recalled ends the run and reports whether it did.
func (r *run) recalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recall == nil {
		return false
	}
	r.recall()
	return true
}

// Begin notes a run that begins; the function that it returns notes its end. recall is
// called if the request becomes a suspect and another run goes on; nil: the run must go on,
// since the request may not run again.
func (g *Guard) Begin(fp Fingerprint, recall func()) (end func()) {
	r := &run{recall: recall}
	g.mu.Lock()
	g.runs[fp] = append(g.runs[fp], r)
	g.mu.Unlock()
	return func() {
		r.end()
		g.mu.Lock()
		defer g.mu.Unlock()
		left := slices.DeleteFunc(g.runs[fp], func(o *run) bool { return o == r })
		if len(left) == 0 {
			delete(g.runs, fp)
			return
		}
		g.runs[fp] = left
	}
}

// keepOneRun recalls the runs of a suspect that are under way here, but for the oldest one
// if this node may make its run. What clients send many times at once would otherwise end
// an endpoint with each of them.
func (g *Guard) keepOneRun(v Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, runs := g.bans[v.Fingerprint], slices.Clone(g.runs[v.Fingerprint])
	if b == nil || len(runs) == 0 || g.ctx.Err() != nil {
		return
	}
	b.asked = g.Clock.Now()
	g.work.Go(func() {
		granted, err := g.try(g.ctx, b, v)
		if granted || err != nil {
			runs = runs[1:]
		}
		g.recall(v.Fingerprint, runs)
	})
}

func (g *Guard) recall(fp Fingerprint, runs []*run) {
	recalled := 0
	for _, r := range runs {
		if r.recalled() {
			recalled++
		}
	}
	if recalled > 0 {
		g.Log.Info("runs of a suspect are recalled", "fingerprint", fp, "runs", recalled)
	}
}
