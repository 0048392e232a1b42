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

// replica is rank 0's view of the other members of its generation. The loss of a
// member ends the replica permanently: the group serves again only in a new
// generation. It is safe for concurrent use.
type replica struct {
	generationTag string   // as in engine.HeaderGeneration
	peers         []string // addresses of the other members
	client        *http.Client
	interval      time.Duration   // between checks of the peers
	lossTimeout   time.Duration   // time without a reply from a peer that ends the replica
	ctx           context.Context // done when the replica has ended
	cancel        context.CancelCauseFunc
	gate          fault.Gate // shut while a peer does not reply

	mu            sync.Mutex
	peerBoots     map[string]fleet.BootID // boot id of each peer at its first successful check
	lastPresent   time.Time               // last check that found all peers present
	silentSince   time.Time               // first check without a reply from a peer; zero if all reply
	activeStreams int                     // running streams
	watching      bool                    // watchPeers is running
}

// peerStatus is the result of checking one peer. Higher values are worse.
type peerStatus int

const (
	peerPresent peerStatus = iota
	peerSilent             // no reply in time
	peerAbsent             // unreachable, restarted, not loaded or in another generation
)

// checkReady reports whether the replica can start a request. It checks the peers if the
// last successful check is older than the interval. An absent peer ends the replica
// only if all peers were present before.
func (r *replica) checkReady(ctx context.Context) bool {
	if r.ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	recent := time.Since(r.lastPresent) < r.interval
	r.mu.Unlock()
	if recent || len(r.peers) == 0 {
		return true
	}
	status := r.checkPeers(ctx)
	r.recordStatus(status)
	return status == peerPresent
}

// recordStatus records the result of a check of all peers. A silent peer stalls the
// replica. Once all peers have been present, a peer that is absent, or silent for longer
// than lossTimeout, ends it.
func (r *replica) recordStatus(status peerStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	established := !r.lastPresent.IsZero()
	switch status {
	case peerPresent:
		r.lastPresent = time.Now()
		r.silentSince = time.Time{}
		r.gate.Set(false)
	case peerSilent:
		if r.silentSince.IsZero() {
			r.silentSince = time.Now()
		}
		r.gate.Set(true)
		if established && time.Since(r.silentSince) > r.lossTimeout {
			r.cancel(errReplicaEnded)
		}
	case peerAbsent:
		if established {
			r.cancel(errReplicaEnded)
		}
	}
}

// checkPeers checks all peers concurrently and returns the worst result.
func (r *replica) checkPeers(ctx context.Context) peerStatus {
	statuses := make(chan peerStatus, len(r.peers))
	for _, addr := range r.peers {
		go func() { statuses <- r.checkPeer(ctx, addr) }()
	}
	worst := peerPresent
	for range r.peers {
		worst = max(worst, <-statuses)
	}
	return worst
}

// checkPeer checks one peer by its /state.
func (r *replica) checkPeer(ctx context.Context, addr string) peerStatus {
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
	if engine.GenerationTag(s.Group, s.Generation) != r.generationTag || !s.Loaded {
		return peerAbsent
	}
	return r.checkBoot(addr, s.Boot)
}

// checkBoot compares the peer's boot id with that of its first check. A peer that
// restarted has lost its shard of the model, even if it reports the same generation
// as loaded.
func (r *replica) checkBoot(addr string, boot fleet.BootID) peerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, ok := r.peerBoots[addr]
	if !ok {
		r.peerBoots[addr] = boot
		return peerPresent
	}
	if first != boot {
		return peerAbsent
	}
	return peerPresent
}

// addStream counts a running stream and reports whether the caller must start watchPeers.
func (r *replica) addStream() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeStreams++
	start := !r.watching && len(r.peers) > 0
	r.watching = r.watching || start
	return start
}

func (r *replica) removeStream() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeStreams--
}

// stopIfIdle reports whether no stream runs, and if so marks watchPeers as stopped.
func (r *replica) stopIfIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeStreams > 0 {
		return false
	}
	r.watching = false
	return true
}

// watchPeers checks the peers at each interval while streams run, until the replica ends.
func (r *replica) watchPeers() {
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for !r.stopIfIdle() {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
		}
		r.recordStatus(r.checkPeers(r.ctx))
	}
}
