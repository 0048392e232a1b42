// Package links tells failures of a node's own links to the endpoints from failures of the
// endpoints, and opens connections through other nodes while its links are lost.
package links

import (
	"time"

	"chervilloom/internal/clock"
)

// Limits of the decision that all links are lost.
const (
	// minFailures is the number of endpoints that must have failed since the last success. One
	// endpoint's failure is its own; a plain service has three.
	minFailures = 3
	// minConfirmed is the same number for endpoints to which another node could connect.
	minConfirmed = 2
	// evidenceAge is how long a failure counts. A node with a request every two seconds sees two
	// of them within it.
	evidenceAge = 5 * time.Second
	// minRegained is the number of endpoints to which the node must connect again before it
	// trusts its links: links may return in part.
	minRegained = 2
)

// Health decides from the connections that a node opens to endpoints whether its links to them
// are lost. It is not safe for concurrent use.
type Health struct {
	links       map[string]*link // by address of the endpoint; only failed ones
	lastSuccess clock.Instant    // last sign of life of any endpoint on a direct connection
	lostSince   clock.Instant    // 0: the links are not all lost
	regained    map[string]bool  // endpoints that were reached again since lostSince
	// probesFailedAt is the end of the latest round of probes in which no endpoint was reached.
	probesFailedAt clock.Instant
}

// link is a link over which the latest connection failed.
type link struct {
	startedAt clock.Instant // start of the failed connection attempt
	failedAt  clock.Instant
	hung      bool // the connection timed out; otherwise it was refused
	confirmed bool // another node connected to the endpoint meanwhile
}

// Failure is a connection that could not be opened.
type Failure struct {
	Addr      string
	StartedAt clock.Instant
	Hung      bool // it timed out; otherwise it was refused or reset
	Confirmed bool // another node connected to the endpoint meanwhile
}

// Change is the effect of an event on the state of all links.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Suspected        // all links may be lost: probes of further endpoints tell
	AllLost          // every link is now considered lost
	Regained         // links are used again, those that failed once they are reached
)

// NewHealth returns the state of a node whose links work.
func NewHealth() *Health { return &Health{links: map[string]*link{}} }

// RecordConnect records that a direct connection to an endpoint was opened.
func (h *Health) RecordConnect(addr string, now clock.Instant) Change {
	h.lastSuccess = now
	delete(h.links, addr)
	if h.lostSince == 0 {
		return Unchanged
	}
	h.regained[addr] = true
	if len(h.regained) < minRegained && len(h.links) > 0 {
		return Unchanged
	}
	h.lostSince, h.regained = 0, nil
	return Regained
}

// RecordResponse records a sign of life on a direct connection that was already open. It doesn't
// show that new connections can be opened.
func (h *Health) RecordResponse(now clock.Instant) { h.lastSuccess = now }

// RecordFailure records a connection that could not be opened.
func (h *Health) RecordFailure(f Failure, now clock.Instant) Change {
	l := h.links[f.Addr]
	if l == nil {
		l = &link{}
		h.links[f.Addr] = l
	}
	l.startedAt, l.failedAt, l.hung, l.confirmed = f.StartedAt, now, f.Hung, f.Confirmed || l.confirmed
	delete(h.regained, f.Addr)
	if h.lostSince != 0 {
		return Unchanged
	}
	return h.decide(now)
}

// RecordProbesFailed records the end of a round of probes in which no endpoint was reached.
// Requests alone don't show that all links are lost: while endpoints crash under a request, it is
// sent to one after the other, and the requests beside it follow.
func (h *Health) RecordProbesFailed(now clock.Instant) Change {
	h.probesFailedAt = now
	if h.lostSince != 0 {
		return Unchanged
	}
	return h.decide(now)
}

// decide decides from the evidence whether all links are lost.
func (h *Health) decide(now clock.Instant) Change {
	failed, confirmed := h.evidence(now)
	probesFailed := h.probesFailedAt.After(h.lastSuccess) && now.Sub(h.probesFailedAt) <= evidenceAge
	switch {
	case confirmed >= minConfirmed, failed >= minFailures && probesFailed:
		h.lostSince, h.regained = now, map[string]bool{}
		return AllLost
	case failed >= minFailures-1: // the probes are over when the last failure comes
		return Suspected
	}
	return Unchanged
}

// RecordEndpointDown records that another node could not connect to the endpoint either, so that
// its failures say nothing about the link.
func (h *Health) RecordEndpointDown(addr string) { delete(h.links, addr) }

// evidence returns the number of endpoints whose latest failed attempt saw no success anywhere
// since it began, and of those to which another node could connect.
func (h *Health) evidence(now clock.Instant) (failed, confirmed int) {
	for _, l := range h.links {
		if l.startedAt.Before(h.lastSuccess) || now.Sub(l.failedAt) > evidenceAge {
			continue
		}
		failed++
		if l.confirmed {
			confirmed++
		}
	}
	return failed, confirmed
}

// AreAllLost reports whether every link is considered lost.
func (h *Health) AreAllLost() bool { return h.lostSince != 0 }

// IsLost reports whether a new connection to the endpoint will probably fail.
func (h *Health) IsLost(addr string) bool {
	return h.AreAllLost() || h.links[addr] != nil
}

// IsSilent reports whether open connections to the endpoint will probably hang.
func (h *Health) IsSilent(addr string) bool {
	l := h.links[addr]
	return h.AreAllLost() || l != nil && l.hung
}

// IsConfirmedLost reports whether another node reached the endpoint while this one did not.
func (h *Health) IsConfirmedLost(addr string) bool {
	l := h.links[addr]
	return l != nil && l.confirmed
}

// Lost returns the addresses of the endpoints over whose links the latest connection failed.
func (h *Health) Lost() []string {
	out := make([]string, 0, len(h.links))
	for addr := range h.links {
		out = append(out, addr)
	}
	return out
}

// Retain forgets the endpoints that are no longer listed.
func (h *Health) Retain(isListed func(addr string) bool) {
	for addr := range h.links {
		if !isListed(addr) {
			delete(h.links, addr)
		}
	}
}

// LastSuccess returns the time of the last sign of life on a direct connection; 0: none yet.
func (h *Health) LastSuccess() clock.Instant { return h.lastSuccess }
