package balance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Tracker records the state of endpoints as this node sees it: its requests in flight, the load
// that answers and other nodes reported, and the last sign of life.
type Tracker struct {
	Clock clock.Clock
	// Silence returns how long an endpoint with started streams may give no sign of life before
	// it becomes suspect.
	Silence func(roster.ID) time.Duration
	// FirstSilence is the same for an endpoint at which all requests in flight wait for their
	// first event, if it is longer than Silence.
	FirstSilence time.Duration
	// OnSuspect is called for each endpoint that becomes suspect; may be nil.
	OnSuspect func(roster.ID)
	// IgnoresSilence reports whether silence says nothing about endpoints, because this node has
	// lost its links to them: requests are moved then, but no endpoint becomes suspect. nil: no.
	IgnoresSilence func() bool
	// OwnDelay returns how late this node processes what it receives; nil: not at all. Silence counts
	// from so much later on.
	OwnDelay func() time.Duration
	// OnDoubt is called for each endpoint that has been silent for longer than the event rate of
	// its streams explains, before it becomes suspect; may be nil.
	OnDoubt func(roster.ID)

	mu      sync.Mutex
	records map[roster.ID]*record
	changes uint64        // starts and ends of requests
	boardAt clock.Instant // when the newest part of a board was applied; 0: never

	answersCheckedAt clock.Instant // when FindAnswers last looked; 0: never
}

// record is the state of one endpoint.
type record struct {
	inFlight         int
	startedStreams   int           // of inFlight: streams that have had an event
	answered         int           // of inFlight: requests whose answer this node has yet to read
	reportedInFlight int           // of inFlight: the number last reported to other nodes
	othersLoad       float64       // requests of other nodes, as of reportedAt
	unconfirmedLoad  float64       // part of othersLoad that other nodes reported since the last answer or board
	reportedAt       clock.Instant // when othersLoad was last updated
	lastSign         clock.Instant // last sign of life, or start of the first request in flight
	suspectSince     clock.Instant // 0: not suspect
	doubted          bool          // reported as doubted since the last sign of life
	eventGap         time.Duration // smoothed time between the events of a stream
	gapDeviation     time.Duration // smoothed absolute deviation from eventGap
	recentGap        recentGap
	zoneGap          time.Duration // time between the events of a stream, averaged over the zone's nodes
	zoneGapAt        clock.Instant // when zoneGap was received; 0: never
	zoneGapLoad      float64       // requests in flight at that time
	pace             float64       // slowdown of the group's slowest member, at least 1
	paceAt           clock.Instant // when pace was received; 0: never
	trialCheckedAt   clock.Instant // when TrialDue was last called; 0: never
	unread           unreadPrompts
	waiting          map[*Ticket]struct{} // tickets with onSuspect
}

const (
	// suspectDuration is how long a suspect gets no new request without a sign of life. The node
	// that repairs groups needs about a second to close or confirm the endpoint; the roster then
	// has its new state.
	suspectDuration = 1500 * time.Millisecond
	// gapLifetime is how long a measured eventGap is used; after that a request is let through
	// to measure it again.
	gapLifetime = 2 * time.Second
	// recordRetention is how long an endpoint without requests is remembered.
	recordRetention = 30 * time.Second
)

// Ticket is the record of one request in flight at an endpoint.
type Ticket struct {
	tracker      *Tracker
	id           roster.ID
	onSuspect    func()
	ended        bool
	lastEvent    clock.Instant // 0: none yet
	unreadTokens int           // prompt tokens that the endpoint has yet to read
	answer       answerState
}

// Start records a request to the endpoint. onSuspect is called when the endpoint becomes suspect
// while the request is in flight; may be nil.
func (t *Tracker) Start(id roster.ID, onSuspect func()) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if r.inFlight == 0 {
		r.lastSign = t.Clock.Now()
	}
	r.inFlight++
	t.changes++
	k := &Ticket{tracker: t, id: id, onSuspect: onSuspect}
	if onSuspect != nil {
		r.waiting[k] = struct{}{}
	}
	return k
}

func (t *Tracker) record(id roster.ID) *record {
	if t.records == nil {
		t.records = map[roster.ID]*record{}
	}
	r := t.records[id]
	if r == nil {
		r = &record{waiting: map[*Ticket]struct{}{}}
		t.records[id] = r
	}
	return r
}

// RecordProgress records a sign of life.
func (k *Ticket) RecordProgress() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	r.lastSign = t.Clock.Now()
	r.suspectSince, r.doubted = 0, false
}

// RecordEvent records an event of a stream and the time since the previous one.
func (k *Ticket) RecordEvent() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	now := t.Clock.Now()
	r.lastSign, r.suspectSince, r.doubted = now, 0, false
	k.answer.unreadSince = 0
	k.finishPrompt(r)
	if k.lastEvent != 0 {
		r.addGap(now.Sub(k.lastEvent))
		r.recentGap.add(now.Sub(k.lastEvent), now)
	} else {
		r.startedStreams++
	}
	k.lastEvent = now
}

// addGap updates the averages by the time between two events.
func (r *record) addGap(d time.Duration) {
	if r.eventGap == 0 {
		r.eventGap, r.gapDeviation = d, d/2
		return
	}
	deviation := d - r.eventGap
	r.eventGap += deviation / gapSmoothing
	r.gapDeviation += (deviation.Abs() - r.gapDeviation) / gapSmoothing
}

// gapSmoothing is the number of events over which a change of the event rate takes effect: half
// a second of a group's streams.
const gapSmoothing = 16

// RecordLoad records the load that an answer reported: requests running and waiting at the endpoint,
// this one included.
func (k *Ticket) RecordLoad(running, waiting int) {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(k.id)
	r.othersLoad, r.unconfirmedLoad = max(0, float64(running+waiting-r.inFlight)), 0
	r.reportedAt = t.Clock.Now()
}

// End records the end of the request. Further calls have no effect.
func (k *Ticket) End() {
	t := k.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	r := t.record(k.id)
	k.finishPrompt(r)
	r.inFlight--
	if k.answer.arrived {
		r.answered--
	}
	if k.lastEvent != 0 {
		r.startedStreams--
	}
	t.changes++
	delete(r.waiting, k)
}

// MarkSuspect marks the endpoint as suspect, after a failure that is evident without waiting.
func (t *Tracker) MarkSuspect(id roster.ID) {
	t.mu.Lock()
	now := t.Clock.Now()
	waiting := t.markSuspect(id, now)
	t.mu.Unlock()
	t.notifySuspect(id, waiting)
}

// ApplySuspicion marks an endpoint as suspect on another node's report, and moves this node's requests.
// The suspicion is not announced again.
func (t *Tracker) ApplySuspicion(id roster.ID) {
	t.mu.Lock()
	waiting := t.markSuspect(id, t.Clock.Now())
	t.mu.Unlock()
	for _, k := range waiting {
		k.onSuspect()
	}
}

// markSuspect marks the endpoint as suspect and returns its tickets that have onSuspect. t.mu is
// held.
func (t *Tracker) markSuspect(id roster.ID, now clock.Instant) []*Ticket {
	r := t.record(id)
	r.suspectSince = now
	out := make([]*Ticket, 0, len(r.waiting))
	for k := range r.waiting {
		out = append(out, k)
	}
	return out
}

// ClearSuspicion lets a suspect endpoint be chosen again, whose silence was found to be that of this
// node's link to it. Its requests in flight may be moved.
func (t *Tracker) ClearSuspicion(id roster.ID) {
	t.mu.Lock()
	var waiting []*Ticket
	if r := t.records[id]; r != nil && (r.suspectSince != 0 || r.doubted) { // otherwise it has answered since
		waiting = t.clearSuspicion(r, t.Clock.Now())
	}
	t.mu.Unlock()
	for _, k := range waiting {
		k.onSuspect()
	}
}

// ClearSuspicions does the same for all endpoints that are suspect or have been silent.
func (t *Tracker) ClearSuspicions() {
	t.mu.Lock()
	now := t.Clock.Now()
	var waiting []*Ticket
	for id, r := range t.records {
		if r.suspectSince != 0 || now.Sub(r.lastSign) > t.Silence(id) {
			waiting = append(waiting, t.clearSuspicion(r, now)...)
		}
	}
	t.mu.Unlock()
	for _, k := range waiting {
		k.onSuspect()
	}
}

// clearSuspicion returns the tickets of the record that have onSuspect. t.mu is held.
func (t *Tracker) clearSuspicion(r *record, now clock.Instant) []*Ticket {
	r.suspectSince, r.doubted = 0, false
	if len(r.waiting) == 0 {
		return nil
	}
	r.lastSign = now // silence counts anew
	return slices.Collect(maps.Keys(r.waiting))
}

func (t *Tracker) notifySuspect(id roster.ID, waiting []*Ticket) {
	if t.OnSuspect != nil && id != "" {
		t.OnSuspect(id)
	}
	for _, k := range waiting {
		k.onSuspect()
	}
}

// CheckSilence finds the endpoints that have requests in flight and have been silent for too long. It
// is called every SilenceCheckInterval.
func (t *Tracker) CheckSilence() {
	type verdict struct {
		id      roster.ID
		stalled []*Ticket
	}
	var suspects []verdict
	var doubted []roster.ID
	ignores := t.IgnoresSilence != nil && t.IgnoresSilence()
	ownDelay := time.Duration(0)
	if t.OwnDelay != nil {
		ownDelay = t.OwnDelay()
	}
	t.mu.Lock()
	now := t.Clock.Now()
	for id, r := range t.records {
		silent := now.Sub(r.lastSign) - ownDelay
		switch {
		case r.inFlight == 0 && now.Sub(max(r.lastSign, r.reportedAt)) > recordRetention:
			delete(t.records, id)
		case len(r.waiting) > 0 && r.suspectSince == 0 && silent > t.silenceLimit(id, r) && r.hasUnread(now):
			r.lastSign = now.Add(unreadGrace - t.silenceLimit(id, r) - ownDelay)
		case len(r.waiting) > 0 && r.suspectSince == 0 && silent > t.silenceLimit(id, r):
			if ignores {
				suspects = append(suspects, verdict{"", t.clearSuspicion(r, now)})
				continue
			}
			suspects = append(suspects, verdict{id, t.markSuspect(id, now)})
		case len(r.waiting) > 0 && !r.doubted && r.eventGap > 0 && silent > r.doubtThreshold() && !r.hasUnread(now):
			r.doubted = true
			doubted = append(doubted, id)
		}
	}
	t.mu.Unlock()
	for _, id := range doubted {
		if t.OnDoubt != nil {
			t.OnDoubt(id)
		}
	}
	for _, v := range suspects {
		t.notifySuspect(v.id, v.stalled)
	}
}

// silenceLimit returns how long an endpoint may give no sign of life. While an engine reads the
// prompts of a wave of clients its streams get no events, and a node that has only new requests
// there can't distinguish that from a group that hangs. With a shorter limit the requests move
// to another engine, which reads them again while the first one still reads: the wave amplifies
// itself.
func (t *Tracker) silenceLimit(id roster.ID, r *record) time.Duration {
	if r.startedStreams == 0 {
		return max(t.Silence(id), t.FirstSilence)
	}
	return t.Silence(id)
}

// doubtThreshold returns the silence after which an endpoint is doubted. All streams of an
// engine get their events at the end of the same pass, whose time varies with the prompts that
// it reads. A false doubt costs a report of each member; a late one delays every stream of a
// lost group: they have 200 to 300 ms from the last event to the next one, and resuming
// elsewhere takes 70 to 120 ms of that.
func (r *record) doubtThreshold() time.Duration {
	const (
		spreads = 4
		least   = 80 * time.Millisecond
		most    = 250 * time.Millisecond
	)
	return min(most, max(least, r.eventGap+spreads*r.gapDeviation))
}

// SilenceCheckInterval is the interval between two checks for silent endpoints. It adds half of itself on
// average to the time until a silence is detected.
const SilenceCheckInterval = 15 * time.Millisecond

// State is the state of an endpoint as needed for a choice.
type State struct {
	Load float64
	// Unconfirmed is the part of Load that only other nodes reported while this node has nothing
	// in flight, so that no answer can correct it.
	Unconfirmed float64
	Suspect     bool
	Doubted     bool
	EventGap    time.Duration // time between the events of a stream; 0: unknown
	Unread      float64       // prompt tokens that the endpoint has yet to read
	// RecentGap is the time between the events of a stream as the zone's nodes measured it, or else
	// this node; it follows changes faster than EventGap. 0: unknown.
	RecentGap time.Duration
	GapLoad   float64 // requests in flight when RecentGap was measured
	Pace      float64 // slowdown of the group's slowest member; 1: usual or unknown
}

// StateOf returns the state of the endpoint. A reported load decays over turnover, the time in which
// an endpoint's requests come and go: an endpoint that seems full gets no requests, so that no
// answer would ever correct its load.
func (t *Tracker) StateOf(id roster.ID, turnover time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return State{Pace: 1}
	}
	now := t.Clock.Now()
	s := State{Load: float64(r.inFlight - r.answered), Unread: float64(r.unread.own) + r.unread.remainingOthers(now)}
	s.Load += r.decayedLoad(r.othersLoad, now, turnover)
	if r.inFlight == 0 {
		s.Unconfirmed = r.decayedLoad(r.unconfirmedLoad, now, turnover)
	}
	s.Suspect = r.isSuspect(now)
	s.Doubted = r.doubted && r.inFlight > 0
	if now.Sub(r.lastSign) < gapLifetime {
		s.EventGap = r.eventGap
	}
	s.RecentGap, s.GapLoad = r.reportedGap(now, s.Load, t.boardAt)
	s.Pace = r.reportedPace(now)
	return s
}

// decayedLoad returns what remains of other nodes' load since it was reported.
func (r *record) decayedLoad(load float64, now clock.Instant, turnover time.Duration) float64 {
	age := now.Sub(r.reportedAt)
	if r.reportedAt == 0 || age >= turnover {
		return 0
	}
	return load * (1 - float64(age)/float64(turnover))
}

// LastSign returns the last sign of life of an endpoint (0: unknown) and whether it is doubted or
// suspect.
func (t *Tracker) LastSign(id roster.ID) (last clock.Instant, suspect bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		return 0, false
	}
	return r.lastSign, r.doubted && r.inFlight > 0 || r.isSuspect(t.Clock.Now())
}

func (r *record) isSuspect(now clock.Instant) bool {
	return r.suspectSince != 0 && now.Sub(r.suspectSince) < suspectDuration
}
