package quarantine

import (
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// Bounds of a tally: the last 256 crashes, each with more requests than an engine runs. Older
// crashes are evicted first, together with their evidence: after the loss of more endpoints at
// once the count of a request starts again.
const (
	maxCrashes      = 256
	maxRunsPerCrash = 64 // an engine runs up to 34 requests
	crashRetention  = 10 * time.Minute
)

// Run is a request that an endpoint was running when it crashed.
type Run struct {
	Fingerprint Fingerprint `json:"f"`
	Attempt     uint32      `json:"a"`           // AttemptID; distinguishes client attempts with the same fingerprint
	Successes   int         `json:"s,omitempty"` // recent successful runs of the request at the reporting node
	Parts       []PartRun   `json:"p,omitempty"` // parts of its prompt that other requests may share
}

// CrashReport reports the crash of an endpoint and the requests that one node had there.
type CrashReport struct {
	Endpoint string `json:"e"` // identifies one process lifetime of the endpoint
	Runs     []Run  `json:"r"`
	// at is when this node saw the crash; 0 for a report of another node, which arrives within
	// 100 ms.
	at clock.Instant
}

// Tally collects reports of crashes, from which Judge finds the requests that cause them and
// JudgeParts the parts of their prompts. It has
// no clock and does no I/O, and is not safe for concurrent use. Duplicates count once, so that
// evidence may be sent again.
type Tally struct {
	crashes       map[string]*crash
	order         []*crash // in the order of their first reports
	byFingerprint map[Fingerprint]*requestEvidence
	byPart        map[Part]*partEvidence
}

// crash is an endpoint's crash with the runs that all nodes have reported.
type crash struct {
	endpoint string
	at       clock.Instant            // time of the crash if this node saw it first, else of the first report
	runs     map[Fingerprint][]uint32 // client attempts of each request
	parts    map[Part]*partPresence
}

// requestEvidence is the evidence on a request that has seen a crash.
type requestEvidence struct {
	crashes    []*crash
	attempts   map[uint32]bool
	successes  successCounts
	releasedAt clock.Instant // when a run of the suspect last succeeded
}

// AddCrash adds a node's report of a crash, and returns whether it is the first report of it.
func (t *Tally) AddCrash(node string, e CrashReport, now clock.Instant) (first bool) {
	if t.crashes == nil {
		t.crashes, t.byFingerprint, t.byPart = map[string]*crash{}, map[Fingerprint]*requestEvidence{}, map[Part]*partEvidence{}
	}
	known := t.crashes[e.Endpoint]
	first = known == nil
	if first {
		t.evictOld(now)
		known = &crash{endpoint: e.Endpoint, at: now, runs: map[Fingerprint][]uint32{}, parts: map[Part]*partPresence{}}
		if e.at != 0 {
			known.at = e.at
		}
		t.crashes[e.Endpoint] = known
		t.order = append(t.order, known)
	}
	for _, r := range e.Runs {
		t.addRun(node, known, r)
		t.addParts(node, known, r, now)
	}
	return first
}

func (t *Tally) addRun(node string, known *crash, r Run) {
	attempts, present := known.runs[r.Fingerprint]
	if !present && len(known.runs) >= maxRunsPerCrash {
		return
	}
	ev := t.byFingerprint[r.Fingerprint]
	if ev == nil {
		ev = &requestEvidence{attempts: map[uint32]bool{}, successes: successCounts{}}
		t.byFingerprint[r.Fingerprint] = ev
	}
	if !present {
		ev.crashes = append(ev.crashes, known)
	}
	if !slices.Contains(attempts, r.Attempt) {
		known.runs[r.Fingerprint] = append(attempts, r.Attempt)
		ev.attempts[r.Attempt] = true
	}
	ev.successes.record(node, r.Successes)
}

// evictOld deletes crashes that are older than crashRetention, and the oldest ones above
// maxCrashes.
func (t *Tally) evictOld(now clock.Instant) {
	for len(t.order) > 0 && (len(t.order) >= maxCrashes || now.Sub(t.order[0].at) > crashRetention) {
		old := t.order[0]
		t.order = t.order[1:]
		delete(t.crashes, old.endpoint)
		for fp := range old.runs {
			ev := t.byFingerprint[fp]
			ev.crashes = slices.DeleteFunc(ev.crashes, func(c *crash) bool { return c == old })
			if len(ev.crashes) == 0 {
				delete(t.byFingerprint, fp)
			}
		}
		t.removeFromParts(old)
	}
}

// Clear removes a request from all crashes, so that its count starts again.
func (t *Tally) Clear(fp Fingerprint) {
	if ev := t.byFingerprint[fp]; ev != nil {
		for _, e := range ev.crashes {
			delete(e.runs, fp)
		}
		delete(t.byFingerprint, fp)
	}
}

// RecordSuccesses records the number of recent successful runs of a request at a node.
func (t *Tally) RecordSuccesses(node string, fp Fingerprint, runs int) {
	if ev := t.byFingerprint[fp]; ev != nil {
		ev.successes.record(node, runs)
	}
}

// CrashCount returns how many crashes the request has seen.
func (t *Tally) CrashCount(fp Fingerprint) int {
	if ev := t.byFingerprint[fp]; ev != nil {
		return len(ev.crashes)
	}
	return 0
}

// isSimultaneous reports whether two crashes were within massLossWindow.
func isSimultaneous(a, b *crash) bool { return max(a.at.Sub(b.at), b.at.Sub(a.at)) < massLossWindow }
