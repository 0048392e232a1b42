package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/standin/fault"
)

// replica is rank 0's tie to the other members of its generation. Losing one of
// them kills the replica for good: only a new generation serves again. It is
// safe for concurrent use.
type replica struct {
	tag      string
	peers    []string // addresses of the other members
	client   *http.Client
	interval time.Duration
	lost     time.Duration // silence of a peer after which the replica is dead
	ctx      context.Context
	kill     context.CancelCauseFunc
	gate     fault.Gate // shut while a peer is silent

	mu      sync.Mutex
	boots   map[string]fleet.BootID // boot of each peer when it was first met
	checked time.Time               // last check that found all peers
	silent  time.Time               // since when a peer is silent; zero: none is
	streams int
	watched bool
}

// peerFinding is what a check of one peer found.
type peerFinding int

const (
	peerPresent peerFinding = iota
	peerSilent              // no answer in time
	peerAbsent              // gone, or in another life or generation
)

// begin reports whether the replica can begin a request. A peer that has not
// taken its place yet is no reason to die.
func (r *replica) begin(ctx context.Context) bool {
	if r.ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	recent := time.Since(r.checked) < r.interval
	r.mu.Unlock()
	if recent || len(r.peers) == 0 {
		return true
	}
	found := r.check(ctx)
	r.note(found)
	return found == peerPresent
}

// note keeps what a check found.
func (r *replica) note(found peerFinding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	established := !r.checked.IsZero()
	switch found {
	case peerPresent:
		r.checked = time.Now()
		r.silent = time.Time{}
		r.gate.Set(false)
	case peerSilent:
		if r.silent.IsZero() {
			r.silent = time.Now()
		}
		r.gate.Set(true)
		if established && time.Since(r.silent) > r.lost {
			r.kill(errStreamBroken)
		}
	case peerAbsent:
		if established {
			r.kill(errStreamBroken)
		}
	}
}

// check asks all peers at once and returns the worst finding.
func (r *replica) check(ctx context.Context) peerFinding {
	findings := make(chan peerFinding, len(r.peers))
	for _, addr := range r.peers {
		go func() { findings <- r.ask(ctx, addr) }()
	}
	worst := peerPresent
	for range r.peers {
		worst = max(worst, <-findings)
	}
	return worst
}

// ask asks one peer for its state.
func (r *replica) ask(ctx context.Context, addr string) peerFinding {
	ctx, cancel := context.WithTimeout(ctx, max(r.interval, minPeerTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/state", nil)
	if err != nil {
		return peerAbsent
	}
	res, err := r.client.Do(req)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.Canceled) {
		return peerSilent
	}
	if err != nil {
		return peerAbsent
	}
	defer res.Body.Close()
	var s fleet.EngineState
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return peerAbsent
	}
	if engine.GenerationTag(s.Group, s.Generation) != r.tag || !s.Loaded {
		return peerAbsent
	}
	return r.sameLife(addr, s.Boot)
}

// sameLife compares the peer's boot with the one that joined: a peer that
// restarted has lost its part of the model, whatever it reports.
func (r *replica) sameLife(addr string, boot fleet.BootID) peerFinding {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.boots[addr]
	if !ok {
		r.boots[addr] = boot
		return peerPresent
	}
	if first != boot {
		return peerAbsent
	}
	return peerPresent
}

// enter counts a stream that needs the peers, and reports whether the caller
// must start watch.
func (r *replica) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
	start := !r.watched && len(r.peers) > 0
	r.watched = r.watched || start
	return start
}

func (r *replica) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams--
}

// idle ends the watch when no stream is left.
func (r *replica) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streams > 0 {
		return false
	}
	r.watched = false
	return true
}

// watch checks the peers while streams run.
func (r *replica) watch() {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for !r.idle() {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		}
		r.note(r.check(r.ctx))
	}
}
