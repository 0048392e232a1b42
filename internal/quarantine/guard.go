package quarantine

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// Guard is a node's part of the quarantine: it detects which requests were running at endpoints
// that crashed, reports them to the tallying nodes, tallies the reports that it receives, and
// decides whether a request may be sent. It is safe for concurrent use. Close stops its
// background work.
type Guard struct {
	Node  string // name of this node
	Clock clock.Clock
	Log   *slog.Logger
	// SendToTalliers sends a message to the nodes that tally.
	SendToTalliers func(Message)
	// Broadcast sends a message to all other nodes.
	Broadcast func(Message)
	// Persist persists a verdict, so that it survives a restart of this node; nil: verdicts are
	// not persisted.
	Persist func(Verdict)
	// DeletePersisted deletes the persisted verdict of a request that was lifted or released; may
	// be nil.
	DeletePersisted func(Fingerprint)
	// AcquireTrial reports whether this node may make the single trial run of a suspect, or of a request
	// whose ban has run its time. On success the verdict passed to it becomes the one that all
	// nodes know, and no other node may make that run. It is called before the request is sent.
	// An error means that the answer is unknown now. nil: no trial runs, and no request becomes
	// a suspect.
	AcquireTrial func(context.Context, Verdict) (bool, error)
	// Dial connects to an endpoint to check whether it listens; nil: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// EndpointCrashed is called for each endpoint that crashed while requests of this node ran there; may
	// be nil.
	EndpointCrashed func(endpoint string)

	metrics    *metrics
	standalone bool
	ctx        context.Context // done after Close
	stop       context.CancelFunc
	work       sync.WaitGroup // checks of endpoints and trial requests

	mu               sync.Mutex
	tally            Tally
	judgedAt         clock.Instant
	hasNewEvidence   bool // evidence was added since the last judgement
	history          history
	partHistory      partHistory
	checksByEndpoint map[string]*endpointCheck
	checksByRequest  map[Fingerprint]*endpointCheck // where the request last failed
	unclear          []unclearRun
	bans             map[Fingerprint]*ban
	partBans         map[Part]Fingerprint          // the bans on parts of prompts
	queriedAt        map[Fingerprint]clock.Instant // when the other nodes were asked for their successful runs
	releasedAt       map[Fingerprint]clock.Instant // when a suspect was released
	liftedAt         map[Fingerprint]clock.Instant // when a ban was lifted
	runs             map[Fingerprint][]*run        // in flight here, in the order in which they began
	resend           []Message                     // messages that the next Tick sends a second time
}

// maxJudgeInterval is the longest pause between two judgements while there is evidence: some of
// it becomes conclusive by the passing of time alone.
const maxJudgeInterval = 500 * time.Millisecond

// queryWait is how long the other nodes have to report successful runs of a request before it is
// refused: two of their polling intervals and a round trip. A node that has just started, and
// likewise the nodes that reported the crashes to it, may have seen no run of a body that
// clients send all day; without the query all nodes would refuse it briefly.
const queryWait = 100 * time.Millisecond

// Init prepares the guard for use, registers its metrics and returns it. reg may be nil.
func (g *Guard) Init(reg prometheus.Registerer) *Guard {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.checksByEndpoint, g.bans, g.checksByRequest = map[string]*endpointCheck{}, map[Fingerprint]*ban{}, map[Fingerprint]*endpointCheck{}
	g.queriedAt = map[Fingerprint]clock.Instant{}
	g.releasedAt, g.liftedAt = map[Fingerprint]clock.Instant{}, map[Fingerprint]clock.Instant{}
	g.runs, g.partBans = map[Fingerprint][]*run{}, map[Part]Fingerprint{}
	g.metrics = newMetrics(reg, g.countRefused)
	if g.Dial == nil {
		g.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	return g
}

// NewStandalone returns a guard that exchanges no messages and uses only its own evidence. It judges on
// each call of Refused, since nobody calls Tick.
func NewStandalone(c clock.Clock, log *slog.Logger) *Guard {
	nobody := func(Message) {}
	g := (&Guard{Clock: c, Log: log, SendToTalliers: nobody, Broadcast: nobody}).Init(nil)
	g.standalone = true
	return g
}

// Close cancels the checks of endpoints and waits for them. No check starts afterwards.
func (g *Guard) Close() {
	g.mu.Lock()
	g.stop()
	g.mu.Unlock()
	g.work.Wait()
}

// countRefused returns the number of requests that are refused, suspects not included.
func (g *Guard) countRefused() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.bans) - g.countSuspects())
}

// Refused reports whether the request must not be sent, and the verdict, which is on the request or
// on one of the parts of its prompt that other requests may share. It is called
// immediately before each send: while a request waits, or is retried at a second endpoint,
// others may find it harmful. It waits for the check of the endpoint at which the request last
// failed, for answers to a query, and up to suspectRunWait for another run of a suspect.
func (g *Guard) Refused(ctx context.Context, fp Fingerprint, parts ...Part) (Verdict, bool) {
	if g.awaitCheck(ctx, fp) || g.standalone {
		g.Tick()
	}
	if g.awaitAnswers(ctx, fp, parts) {
		g.Tick()
	}
	if v, refused := g.refusedForPart(ctx, parts); refused {
		g.metrics.refused.Inc()
		g.metrics.refusedParts.Inc()
		return v, true
	}
	deadline := g.Clock.Now().Add(suspectRunWait)
	g.awaitRun(ctx, fp, deadline)
	v, refused := g.refusedNow(ctx, fp)
	if refused && v.Suspect { // another node makes the trial run
		g.awaitRun(ctx, fp, deadline)
		v, refused = g.refusedNow(ctx, fp)
	}
	if refused {
		g.metrics.refused.Inc()
	}
	return v, refused
}

// refusedForPart reports whether one of the parts is harmful, and the verdict.
func (g *Guard) refusedForPart(ctx context.Context, parts []Part) (Verdict, bool) {
	for _, fp := range g.bannedParts(parts) {
		if v, refused := g.refusedNow(ctx, fp); refused {
			return v, true
		}
	}
	return Verdict{}, false
}

// bannedParts returns the fingerprints of those parts that are harmful.
func (g *Guard) bannedParts(parts []Part) []Fingerprint {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.partBans) == 0 {
		return nil
	}
	var out []Fingerprint
	for _, p := range parts {
		if fp, ok := g.partBans[p]; ok {
			out = append(out, fp)
		}
	}
	return out
}

// refusedNow is Refused without the waits.
func (g *Guard) refusedNow(ctx context.Context, fp Fingerprint) (Verdict, bool) {
	g.mu.Lock()
	b := g.bans[fp]
	if b == nil {
		g.mu.Unlock()
		return Verdict{}, false
	}
	now, v := g.Clock.Now(), b.Verdict
	due := g.AcquireTrial != nil && b.isTrialDue(now)
	if due {
		b.trialRequestedAt = now
	}
	g.mu.Unlock()
	if !due {
		return v, true
	}
	granted, _ := g.acquireTrial(ctx, b, v) // the error is logged and counts as a refusal
	return v, !granted
}

// Tick sends new evidence and judges what has been tallied.
func (g *Guard) Tick() {
	now := g.Clock.Now()
	g.mu.Lock()
	messages := g.resend
	g.resend = nil
	for _, m := range packCrashes(g.Node, g.takeUnreportedCrashes(now)) {
		g.noteEvidence(m, now)
		messages, g.resend = append(messages, m), append(g.resend, m) // sent twice, since a lost packet would lose the evidence
	}
	var found, suspects []Verdict
	query := Message{Node: g.Node}
	if len(g.tally.order) > 0 && (g.hasNewEvidence || len(g.queriedAt) > 0 || now.Sub(g.judgedAt) >= maxJudgeInterval) {
		g.judgedAt, g.hasNewEvidence = now, false
		found = g.tally.JudgeParts(g.isHarmfulPart, g.isFoundHarmful)
		found = append(found, g.tally.Judge(g.isFoundHarmful, g.isHarmfulPart, now)...)
		found, query.Queries, query.PartQueries = g.splitAnswered(found, now)
		suspects = g.newSuspects()
	}
	g.removeExpired(now)
	g.mu.Unlock()
	for _, m := range messages {
		g.SendToTalliers(m)
	}
	if len(query.Queries)+len(query.PartQueries) > 0 {
		g.Broadcast(query)
	}
	for _, v := range append(suspects, found...) {
		g.ban(v, "tally")
		if !g.IsQuarantined(v.Fingerprint) {
			continue // lifted at once because of this node's own successful runs
		}
		if g.Persist != nil {
			g.Persist(v)
		}
		g.Broadcast(Message{Node: g.Node, Found: []Verdict{v}})
		if v.Part != "" {
			g.liftExplained()
		}
	}
}

// liftExplained ends the bans and suspicions of requests that were found before the part that
// caused their crashes.
func (g *Guard) liftExplained() {
	g.mu.Lock()
	var requests []Fingerprint
	for fp, b := range g.bans {
		if b.Part == "" {
			requests = append(requests, fp)
		}
	}
	explained := g.tally.ExplainedByParts(requests, g.isHarmfulPart)
	g.mu.Unlock()
	const reason = "a harmful part of other prompts explains its crashes"
	for _, fp := range explained {
		if !g.release(fp, reason) {
			g.lift(fp, reason)
		}
	}
}

func (g *Guard) isFoundHarmful(fp Fingerprint) bool {
	b := g.bans[fp]
	return b != nil && !b.Suspect
}

func (g *Guard) isHarmfulPart(p Part) bool {
	_, banned := g.partBans[p]
	return banned
}

// newSuspects returns the suspects that have no ban yet. g.mu is held.
func (g *Guard) newSuspects() []Verdict {
	if g.AcquireTrial == nil {
		return nil
	}
	return slices.DeleteFunc(g.tally.Suspects(g.isFoundHarmful, g.isHarmfulPart), func(v Verdict) bool { return g.bans[v.Fingerprint] != nil })
}

// splitAnswered splits the findings into those that are confirmed, since the other nodes have
// had queryWait to report successful runs, and those about which they are to be asked now. g.mu
// is held.
func (g *Guard) splitAnswered(found []Verdict, now clock.Instant) (confirmed []Verdict, queries []Fingerprint, partQueries []Part) {
	pending := map[Fingerprint]clock.Instant{}
	for _, v := range found {
		at, ok := g.queriedAt[v.Fingerprint]
		switch {
		case g.standalone || ok && now.Sub(at) >= queryWait:
			confirmed = append(confirmed, v)
		case ok:
			pending[v.Fingerprint] = at
		case v.Part != "":
			pending[v.Fingerprint] = now
			partQueries = append(partQueries, v.Part)
			g.tally.RecordPartSuccesses(g.Node, v.Part, g.partHistory.successes(v.Part, now), now)
		default:
			pending[v.Fingerprint] = now
			queries = append(queries, v.Fingerprint)
			g.tally.RecordSuccesses(g.Node, v.Fingerprint, g.history.runs(v.Fingerprint)) // this node's own answer
		}
	}
	g.queriedAt = pending
	return confirmed, queries, partQueries
}

// awaitAnswers waits until queryWait has passed since the other nodes were asked about the
// request or a part of it, and reports whether they were asked.
func (g *Guard) awaitAnswers(ctx context.Context, fp Fingerprint, parts []Part) bool {
	g.mu.Lock()
	at, asked := g.queriedAt[fp]
	if len(g.queriedAt) > 0 {
		for _, p := range parts {
			if partAt, ok := g.queriedAt[p.Fingerprint()]; ok {
				at, asked = max(at, partAt), true
			}
		}
	}
	left := queryWait - g.Clock.Now().Sub(at)
	g.mu.Unlock()
	if asked {
		clock.Sleep(ctx, left)
	}
	return asked
}

// noteEvidence adds the crashes of a message to the tally. g.mu is held.
func (g *Guard) noteEvidence(m Message, now clock.Instant) {
	for _, e := range m.Crashes {
		if g.tally.AddCrash(m.Node, e, now) {
			g.Log.Info("crash of an endpoint tallied", "endpoint", e.Endpoint, "from", m.Node, "requests", len(e.Runs))
		}
		g.hasNewEvidence = true
	}
}

// Receive processes a message of another node.
func (g *Guard) Receive(m Message) {
	now := g.Clock.Now()
	g.mu.Lock()
	g.noteEvidence(m, now)
	harmless := false
	if s := m.Successes; s != nil {
		g.tally.RecordSuccesses(m.Node, s.Fingerprint, s.Runs)
		if b := g.bans[s.Fingerprint]; b != nil {
			// The tally may have been cleared: a row that was written while another node lifted
			// the ban restores it.
			b.successes.record(m.Node, s.Runs)
			harmless = b.successes.isHarmless(b.Crashes)
		}
	}
	if s := m.PartSuccesses; s != nil {
		g.tally.RecordPartSuccesses(m.Node, s.Part, s.PartSuccesses, now)
	}
	g.mu.Unlock()
	if harmless {
		const reason = "its successful runs far outnumber the crashes"
		if !g.release(m.Successes.Fingerprint, reason) {
			g.lift(m.Successes.Fingerprint, reason)
		}
	}
	for _, fp := range m.Queries {
		g.answerQuery(fp)
	}
	for _, p := range m.PartQueries {
		g.answerPartQuery(p)
	}
	for _, v := range m.Found {
		if !g.wasLiftedWithin(v.Fingerprint, lateFindingWindow, now) {
			g.ban(v, m.Node)
		}
	}
	for _, fp := range m.Lifted {
		g.unban(fp, m.Node)
	}
	for _, fp := range m.Released {
		g.clearSuspect(fp, m.Node)
	}
}
