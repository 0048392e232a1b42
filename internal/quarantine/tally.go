package quarantine

import (
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// The bounds of a tally: the last 256 ends, each with the requests of an engine and more.
// Those of before are forgotten, oldest first, and with them what they showed: after a
// loss of more endpoints at once a request is counted anew.
const (
	mostEnds   = 256
	mostRuns   = 64 // of one end; an engine runs up to 34 requests
	endsMemory = 10 * time.Minute
)

// Run is a request that an endpoint had when it ended.
type Run struct {
	Fingerprint Fingerprint `json:"f"`
	Attempt     uint32      `json:"a"`           // tells client attempts of one fingerprint apart
	Sound       int         `json:"s,omitempty"` // of its runs that ended well at the node that tells, of late
}

// End tells of an endpoint that ended, and of the requests that a node had there.
type End struct {
	Endpoint string `json:"e"` // one life of an endpoint
	Runs     []Run  `json:"r"`
	// at is when this node saw it; of another node's 0, told within a tenth of a second.
	at clock.Instant
}

// Tally gathers what nodes tell of ends, for Judge to find the requests that cause them.
// It holds no clock and does no I/O; one goroutine at a time may use it. What is noted
// twice counts once, so that evidence may be told again.
type Tally struct {
	ends    map[string]*end
	order   []*end // by when they were heard first
	byPrint map[Fingerprint]*suspect
}

// end is an endpoint's end with the runs that all nodes have told.
type end struct {
	endpoint string
	at       clock.Instant            // when it was heard first
	runs     map[Fingerprint][]uint32 // client attempts
}

// suspect is what is known of a request that has seen an end.
type suspect struct {
	ends     []*end
	attempts map[uint32]bool
	sound    soundCounts
	released clock.Instant // when a run of it ended well while it was a suspect
}

// Note takes up what a node tells of an end, and reports whether it is the first to tell.
func (t *Tally) Note(node string, e End, now clock.Instant) (first bool) {
	if t.ends == nil {
		t.ends, t.byPrint = map[string]*end{}, map[Fingerprint]*suspect{}
	}
	at := t.ends[e.Endpoint]
	first = at == nil
	if first {
		t.forget(now)
		at = &end{endpoint: e.Endpoint, at: now, runs: map[Fingerprint][]uint32{}}
		if e.at != 0 {
			at.at = e.at
		}
		t.ends[e.Endpoint] = at
		t.order = append(t.order, at)
	}
	for _, r := range e.Runs {
		t.noteRun(node, at, r)
	}
	return first
}

func (t *Tally) noteRun(node string, at *end, r Run) {
	attempts, there := at.runs[r.Fingerprint]
	if !there && len(at.runs) >= mostRuns {
		return
	}
	s := t.byPrint[r.Fingerprint]
	if s == nil {
		s = &suspect{attempts: map[uint32]bool{}, sound: soundCounts{}}
		t.byPrint[r.Fingerprint] = s
	}
	if !there {
		s.ends = append(s.ends, at)
	}
	if !slices.Contains(attempts, r.Attempt) {
		at.runs[r.Fingerprint] = append(attempts, r.Attempt)
		s.attempts[r.Attempt] = true
	}
	s.sound.note(node, r.Sound)
}

// forget drops ends that are old or too many.
func (t *Tally) forget(now clock.Instant) {
	for len(t.order) > 0 && (len(t.order) >= mostEnds || now.Sub(t.order[0].at) > endsMemory) {
		old := t.order[0]
		t.order = t.order[1:]
		delete(t.ends, old.endpoint)
		for fp := range old.runs {
			s := t.byPrint[fp]
			s.ends = slices.DeleteFunc(s.ends, func(e *end) bool { return e == old })
			if len(s.ends) == 0 {
				delete(t.byPrint, fp)
			}
		}
	}
}

// Clear takes a request out of all ends: it is counted anew.
func (t *Tally) Clear(fp Fingerprint) {
	if s := t.byPrint[fp]; s != nil {
		for _, e := range s.ends {
			delete(e.runs, fp)
		}
		delete(t.byPrint, fp)
	}
}

// NoteSound takes up how many runs of a request ended well at a node, of late.
func (t *Tally) NoteSound(node string, fp Fingerprint, runs int) {
	if s := t.byPrint[fp]; s != nil {
		s.sound.note(node, runs)
	}
}

// Saw reports how many ends the request has seen.
func (t *Tally) Saw(fp Fingerprint) int {
	if s := t.byPrint[fp]; s != nil {
		return len(s.ends)
	}
	return 0
}

// near reports whether two ends were at the same moment.
func near(a, b *end) bool { return max(a.at.Sub(b.at), b.at.Sub(a.at)) < herdSpan }
