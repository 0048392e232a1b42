package balance

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Tracker keeps what this node's own requests tell of the endpoints: how many
// are in flight, what load the answers reported, and when the last sign of
// life came.
type Tracker struct {
	Clock clock.Clock
	// Silence is how long an endpoint with streams that have begun may give no sign
	// of life before it is suspect.
	Silence func(roster.ID) time.Duration
	// FirstSilence is the same for one at which all requests in flight wait for their
	// first event; 0: Silence.
	FirstSilence time.Duration
	// Suspected is told of each endpoint that becomes suspect; nil: nobody.
	Suspected func(roster.ID)
	// Doubted is told of each endpoint that has been silent for longer than its
	// streams' pace explains, before it is suspect; nil: nobody.
	Doubted func(roster.ID)

	mu      sync.Mutex
	known   map[roster.ID]*record
	changes uint64 // of the requests in flight
}

// record is what is known of one endpoint.
type record struct {
	inFlight int
	begun    int           // of these, streams that have had an event
	told     int           // of these, as this node has told last
	others   float64       // load by other nodes at the last report
	placed   float64       // of others, what other nodes told since an answer or a board did
	reported clock.Instant // when that report came
	sign     clock.Instant // last sign of life, or start of the first request in flight
	suspect  clock.Instant // since when; 0: not suspect
	doubted  bool          // it was doubted since its last sign of life
	gap      time.Duration // smoothed pause between the events of a stream
	spread   time.Duration // smoothed distance of the pauses from gap
	unread   unread
	stalls   map[*Ticket]struct{}
}

const (
	// suspectFor is how long a suspect gets no new request without a sign of
	// life. The node that repairs groups needs about a second to close or
	// confirm it; the roster then has its new state.
	suspectFor = 1500 * time.Millisecond
	// gapFor is how long a pace that was seen is believed; then a request is
	// let through to see it again.
	gapFor = 2 * time.Second
	// forgetAfter is how long an endpoint without requests is remembered.
	forgetAfter = 30 * time.Second
)

// Ticket stands for one request in flight at an endpoint.
type Ticket struct {
	tracker *Tracker
	id      roster.ID
	stalled func()
	ended   bool
	last    clock.Instant // last event; 0: none yet
	prompt  int           // tokens that the endpoint has yet to read
}

// Start notes a request to the endpoint. stalled is called when the endpoint
// becomes suspect while the request is in flight.
func (t *Tracker) Start(id roster.ID, stalled func()) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if r.inFlight == 0 {
		r.sign = t.Clock.Now()
	}
	r.inFlight++
	t.changes++
	k := &Ticket{tracker: t, id: id, stalled: stalled}
	if stalled != nil {
		r.stalls[k] = struct{}{}
	}
	return k
}

func (t *Tracker) record(id roster.ID) *record {
	if t.known == nil {
		t.known = map[roster.ID]*record{}
	}
	r := t.known[id]
	if r == nil {
		r = &record{stalls: map[*Ticket]struct{}{}}
		t.known[id] = r
	}
	return r
}

// Progress notes a sign of life.
func (k *Ticket) Progress() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	r.sign = t.Clock.Now()
	r.suspect, r.doubted = 0, false
}

// Event notes an event of a stream, and the pause before it.
func (k *Ticket) Event() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	now := t.Clock.Now()
	r.sign, r.suspect, r.doubted = now, 0, false
	k.read(r)
	if k.last != 0 {
		r.pause(now.Sub(k.last))
	} else {
		r.begun++
	}
	k.last = now
}

// pause takes up a pause between two events.
func (r *record) pause(d time.Duration) {
	if r.gap == 0 {
		r.gap, r.spread = d, d/2
		return
	}
	off := d - r.gap
	r.gap += off / gapSmoothing
	r.spread += (off.Abs() - r.spread) / gapSmoothing
}

// gapSmoothing is how many events a change of the pace needs to show: half a
// second of a group's streams.
const gapSmoothing = 16

// Load notes the load that an answer reported: requests that run and wait
// there, this one included.
func (k *Ticket) Load(running, waiting int) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	r.others, r.placed = max(0, float64(running+waiting-r.inFlight)), 0
	r.reported = t.Clock.Now()
}

// End notes that the request is over.
func (k *Ticket) End() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	r := t.record(k.id)
	k.read(r)
	r.inFlight--
	if k.last != 0 {
		r.begun--
	}
	t.changes++
	delete(r.stalls, k)
}

// Suspect marks the endpoint suspect, for a failure that shows without waiting.
func (t *Tracker) Suspect(id roster.ID) {
	t.mu.Lock()
	now := t.Clock.Now()
	stalled := t.mark(id, now)
	t.mu.Unlock()
	t.announce(id, stalled)
}

// Strand marks an endpoint suspect by another node's word, and moves what this
// node has there.
func (t *Tracker) Strand(id roster.ID) {
	t.mu.Lock()
	stalled := t.mark(id, t.Clock.Now())
	t.mu.Unlock()
	for _, k := range stalled {
		k.stalled()
	}
}

// mark returns the requests in flight that were waiting on the endpoint.
func (t *Tracker) mark(id roster.ID, now clock.Instant) []*Ticket {
	r := t.record(id)
	r.suspect = now
	out := make([]*Ticket, 0, len(r.stalls))
	for k := range r.stalls {
		out = append(out, k)
	}
	return out
}

func (t *Tracker) announce(id roster.ID, stalled []*Ticket) {
	if t.Suspected != nil {
		t.Suspected(id)
	}
	for _, k := range stalled {
		k.stalled()
	}
}

// Watch looks for endpoints that have requests in flight and have been silent
// for too long. It is called every WatchStep.
func (t *Tracker) Watch() {
	type verdict struct {
		id      roster.ID
		stalled []*Ticket
	}
	var found []verdict
	var doubted []roster.ID
	t.mu.Lock()
	now := t.Clock.Now()
	for id, r := range t.known {
		switch {
		case r.inFlight == 0 && now.Sub(max(r.sign, r.reported)) > forgetAfter:
			delete(t.known, id)
		case len(r.stalls) > 0 && r.suspect == 0 && now.Sub(r.sign) > t.silence(id, r):
			found = append(found, verdict{id, t.mark(id, now)})
		case len(r.stalls) > 0 && !r.doubted && r.gap > 0 && now.Sub(r.sign) > r.doubtAfter():
			r.doubted = true
			doubted = append(doubted, id)
		}
	}
	t.mu.Unlock()
	for _, id := range doubted {
		if t.Doubted != nil {
			t.Doubted(id)
		}
	}
	for _, v := range found {
		t.announce(v.id, v.stalled)
	}
}

// silence returns how long an endpoint may give no sign of life. An engine that reads the
// prompts of a wave of clients gives its streams no event meanwhile, and a node that has
// only new requests there can't tell that from a group that stands still. Given up sooner,
// the requests are sent to another engine, which reads them again while the first reads on:
// the wave feeds itself.
func (t *Tracker) silence(id roster.ID, r *record) time.Duration {
	if r.begun == 0 {
		return max(t.Silence(id), t.FirstSilence)
	}
	return t.Silence(id)
}

// doubtAfter returns the silence after which an endpoint is doubted. All streams
// of an engine get their events at the end of the same pass, whose time varies
// with the prompts that it reads. A doubt that is wrong costs a report of each
// member; one that comes late makes every stream of a lost group late: they have
// 200 to 300 ms from the last event to the next one, and going on elsewhere takes
// 70 to 120 ms of that.
func (r *record) doubtAfter() time.Duration {
	const (
		spreads = 4
		least   = 80 * time.Millisecond
		most    = 250 * time.Millisecond
	)
	return min(most, max(least, r.gap+spreads*r.spread))
}

// WatchStep is the pause between two looks. It adds half of itself on average
// to the time until a silence is seen.
const WatchStep = 15 * time.Millisecond

// State is what a choice needs to know of an endpoint.
type State struct {
	Load float64
	// Unconfirmed is the part of Load that other nodes alone told, where this node has
	// nothing in flight and so gets no answer that would tell otherwise.
	Unconfirmed float64
	Suspect     bool
	Doubted     bool
	Gap         time.Duration // pause between the events of a stream; 0: unknown
	Unread      float64       // prompt tokens that it has yet to read
}

// Of returns the state of the endpoint. A load that an answer reported fades
// over turnover, the time in which an endpoint's requests come and go: what is
// told only by answers would stay for good at an endpoint that seems full and
// so gets no request.
func (t *Tracker) Of(id roster.ID, turnover time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[id]
	if r == nil {
		return State{}
	}
	now := t.Clock.Now()
	s := State{Load: float64(r.inFlight), Unread: float64(r.unread.own) + r.unread.others(now)}
	s.Load += r.faded(r.others, now, turnover)
	if r.inFlight == 0 {
		s.Unconfirmed = r.faded(r.placed, now, turnover)
	}
	s.Suspect = r.suspectAt(now)
	s.Doubted = r.doubted && r.inFlight > 0
	if now.Sub(r.sign) < gapFor {
		s.Gap = r.gap
	}
	return s
}

// faded returns what is left of a load by other nodes since it was reported.
func (r *record) faded(load float64, now clock.Instant, turnover time.Duration) float64 {
	age := now.Sub(r.reported)
	if r.reported == 0 || age >= turnover {
		return 0
	}
	return load * (1 - float64(age)/float64(turnover))
}

// Sign returns the last sign of life of an endpoint (0: none is known) and
// whether it is doubted or suspect.
func (t *Tracker) Sign(id roster.ID) (last clock.Instant, suspect bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.known[id]
	if r == nil {
		return 0, false
	}
	return r.sign, r.doubted && r.inFlight > 0 || r.suspectAt(t.Clock.Now())
}

func (r *record) suspectAt(now clock.Instant) bool {
	return r.suspect != 0 && now.Sub(r.suspect) < suspectFor
}
