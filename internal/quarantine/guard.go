package quarantine

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// Guard is a node's part in the quarantine: it notes with which requests endpoints ended
// here, tells the nodes that tally, tallies what it hears, and says whether a request may
// be sent. It is safe for concurrent use.
type Guard struct {
	Node  string // this node's name
	Clock clock.Clock
	Log   *slog.Logger
	// Tell sends a message to the nodes that tally, Announce to all nodes.
	Tell     func(Message)
	Announce func(Message)
	// Keep is told of each request that is found, and Drop of each that is lifted, so
	// that they outlast this node's process; nil: they don't.
	Keep func(Verdict)
	Drop func(Fingerprint)
	// Try reports whether this node may make the one run of a request whose time is over,
	// with the verdict as all nodes shall know it from now on. No other node may make one
	// then. It is asked before the request is sent; nil: no.
	Try func(context.Context, Verdict) bool
	// Refuses reports whether nothing listens at an address; nil: by connecting.
	Refuses func(addr string) bool
	// Ended is told of an endpoint that ended with requests; nil: nobody.
	Ended func(endpoint string)

	metrics *metrics
	alone   bool

	mu      sync.Mutex
	tally   Tally
	judged  clock.Instant
	dirty   bool // there is evidence that wasn't judged
	history history
	broken  map[string]*broken      // by endpoint
	looks   map[Fingerprint]*broken // where the request broke off last
	bars    map[Fingerprint]*bar
	again   []Message // to be told once more
}

// bar is a request that is refused.
type bar struct {
	Verdict
	since clock.Instant // when this node heard
	asked clock.Instant // when this node last asked for its try; 0: never
	tries bool          // this node makes the try
	sound soundCounts   // told since
	kept  bool          // it is among those that are kept for all nodes
	gone  clock.Instant // when it was first missing among them; 0: it isn't
}

// broken is an endpoint at which attempts broke off.
type broken struct {
	at     clock.Instant
	ended  bool          // nothing listens there any more
	looked chan struct{} // closed when the look at the endpoint is over
	runs   []Run         // to be told
}

const (
	// confirmLimit is how long a look at an endpoint may take. A process that ended has
	// its connections refused within a round trip, 3 ms; silence is no end that was seen.
	confirmLimit = 300 * time.Millisecond
	// lookWait is how long a repeat waits for the look at the endpoint that its request
	// broke off at. An endpoint that ends within a millisecond would have three more
	// after it before anything is known: 8 ended under two client attempts of up to four
	// tries each, now 5.
	lookWait = 20 * time.Millisecond
	// brokenFor is how long an endpoint is taken for what the look has shown.
	brokenFor = 2 * time.Second
	// mostBroken bounds the endpoints looked at; more at once are a loss of many, which
	// tells nothing of a request.
	mostBroken = 256
	// judgeEach is the longest pause between two judgements while there is evidence: time
	// settles some.
	judgeEach = 500 * time.Millisecond
	// mostBars bounds the requests that are refused; the oldest is let go first. A store's
	// page holds that many rows beside those of 200 nodes.
	mostBars = 256
	// rowGone is for how long a request must be missing among those kept to be taken for
	// lifted: nodes hand on what they have read with ages of up to 2.2 s.
	rowGone = 5 * time.Second
)

// Init registers the metrics; reg may be nil.
func (g *Guard) Init(reg prometheus.Registerer) *Guard {
	g.broken, g.bars, g.looks = map[string]*broken{}, map[Fingerprint]*bar{}, map[Fingerprint]*broken{}
	g.metrics = newMetrics(reg, g.count)
	if g.Refuses == nil {
		g.Refuses = refuses
	}
	return g
}

// Alone returns a guard that tells nobody and knows what it sees itself. It judges at each
// question, for nobody calls Tick.
func Alone(c clock.Clock, log *slog.Logger) *Guard {
	nobody := func(Message) {}
	g := (&Guard{Clock: c, Log: log, Tell: nobody, Announce: nobody}).Init(nil)
	g.alone = true
	return g
}

func (g *Guard) count() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(len(g.bars))
}

// refuses reports whether connections to addr are refused.
func refuses(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), confirmLimit)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Refused reports whether the request must not be sent, and why. It is asked immediately
// before each send: a request may have waited, or be on its way to a second endpoint,
// while others find it harmful.
func (g *Guard) Refused(ctx context.Context, print Fingerprint) (Verdict, bool) {
	if g.awaitLook(ctx, print) || g.alone {
		g.Tick()
	}
	g.mu.Lock()
	b := g.bars[print]
	if b == nil {
		g.mu.Unlock()
		return Verdict{}, false
	}
	now := g.Clock.Now()
	v := b.Verdict
	due := g.Try != nil && now.Sub(b.since) > barFor && (b.asked == 0 || now.Sub(b.asked) > tryPause)
	if due {
		b.asked = now
	}
	g.mu.Unlock()
	if due && g.try(ctx, b) {
		return v, false
	}
	g.metrics.refused.Inc()
	return v, true
}

// awaitLook waits for the look at the endpoint where the request broke off here, and reports
// whether that endpoint had ended.
func (g *Guard) awaitLook(ctx context.Context, print Fingerprint) (ended bool) {
	g.mu.Lock()
	b := g.looks[print]
	delete(g.looks, print)
	g.mu.Unlock()
	if b == nil {
		return false
	}
	limit := time.NewTimer(lookWait)
	defer limit.Stop()
	select {
	case <-b.looked:
	case <-limit.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.ended
}

// try asks for the one run of a request whose time is over.
func (g *Guard) try(ctx context.Context, b *bar) bool {
	v := b.Verdict
	v.Tries++
	if !g.Try(ctx, v) {
		return false
	}
	g.mu.Lock()
	b.Verdict, b.since, b.tries = v, g.Clock.Now(), true
	g.mu.Unlock()
	g.Log.Info("quarantined request is tried", "fingerprint", v.Print, "ends", v.Ends, "tries", v.Tries)
	return true
}

// AttemptID names a client attempt in evidence.
func AttemptID(requestID string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // a hash never fails
	return h.Sum32()
}

// Broke notes that an attempt at an endpoint broke off, whatever the reason. It counts
// only if nothing listens at the endpoint any more: one that resets a connection, answers
// with garbage or is cut off has not ended.
func (g *Guard) Broke(endpoint, addr string, print Fingerprint, attempt uint32) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.broken[endpoint]
	if b == nil {
		if len(g.broken) >= mostBroken {
			return
		}
		b = &broken{at: now, looked: make(chan struct{})}
		g.broken[endpoint] = b
		go g.confirm(b, endpoint, addr)
	}
	g.looks[print] = b
	b.runs = append(b.runs, Run{Print: print, Attempt: attempt, Sound: g.history.runs(print)})
}

func (g *Guard) confirm(b *broken, endpoint, addr string) {
	defer close(b.looked)
	if !g.Refuses(addr) {
		return
	}
	g.mu.Lock()
	b.ended = true
	requests := len(b.runs)
	g.mu.Unlock()
	g.metrics.ends.Inc()
	g.Log.Info("endpoint ended with requests", "endpoint", endpoint, "requests", requests)
	if g.Ended != nil {
		g.Ended(endpoint)
	}
	g.Tick() // the same request may be on its way to another node already
}

// Sound notes a run that ended well.
func (g *Guard) Sound(print Fingerprint) {
	g.mu.Lock()
	g.history.add(print, g.Clock.Now())
	b, runs := g.bars[print], g.history.runs(print)
	tried := b != nil && b.tries
	g.mu.Unlock()
	switch {
	case tried:
		g.lift(print, "a run of it ended well")
	case b != nil:
		g.tellSound(print, runs)
	}
}

// tellSound tells how often a request ran well here that was found harmful: many clients
// may send the same one all day, and some nodes have seen none of its ends.
func (g *Guard) tellSound(print Fingerprint, runs int) {
	m := Message{Node: g.Node, Sound: &SoundRuns{print, runs}}
	g.Hear(m)
	g.Tell(m)
}

// Tick tells what has been noted, and judges.
func (g *Guard) Tick() {
	now := g.Clock.Now()
	g.mu.Lock()
	tell := g.again
	g.again = nil
	for _, m := range pack(g.Node, g.endsToTell(now)) {
		g.note(m, now)
		tell, g.again = append(tell, m), append(g.again, m) // a lost packet would lose the evidence
	}
	var found []Verdict
	if len(g.tally.order) > 0 && (g.dirty || now.Sub(g.judged) >= judgeEach) {
		g.judged, g.dirty = now, false
		found = g.tally.Judge(func(f Fingerprint) bool { return g.bars[f] != nil }, now)
	}
	g.expire(now)
	g.mu.Unlock()
	for _, m := range tell {
		g.Tell(m)
	}
	for _, v := range found {
		g.bar(v, "tally")
		if g.Keep != nil {
			g.Keep(v)
		}
		g.Announce(Message{Node: g.Node, Found: []Verdict{v}})
	}
}

// endsToTell returns the runs of endpoints that ended, each once, and forgets endpoints
// that were looked at long ago.
func (g *Guard) endsToTell(now clock.Instant) []End {
	var ends []End
	for endpoint, b := range g.broken {
		if b.ended && len(b.runs) > 0 {
			ends = append(ends, End{endpoint, b.runs, b.at})
			b.runs = nil
		}
		if now.Sub(b.at) > brokenFor {
			delete(g.broken, endpoint)
		}
	}
	for print, b := range g.looks {
		if now.Sub(b.at) > brokenFor {
			delete(g.looks, print) // nobody repeated it
		}
	}
	return ends
}

// note takes up evidence.
func (g *Guard) note(m Message, now clock.Instant) {
	for _, e := range m.Ends {
		g.tally.Note(m.Node, e, now)
		g.dirty = true
	}
}

// Hear takes up a message of another node.
func (g *Guard) Hear(m Message) {
	now := g.Clock.Now()
	g.mu.Lock()
	g.note(m, now)
	harmless := false
	if s := m.Sound; s != nil {
		g.tally.NoteSound(m.Node, s.Print, s.Runs)
		if b := g.bars[s.Print]; b != nil {
			// The tally may have been cleared: a row that was written while another
			// node lifted the request brings it back.
			b.sound.note(m.Node, s.Runs)
			harmless = b.sound.harmless(b.Ends)
		}
	}
	g.mu.Unlock()
	if harmless {
		g.lift(m.Sound.Print, "it runs well far more often than endpoints end under it")
	}
	for _, v := range m.Found {
		g.bar(v, m.Node)
	}
	for _, print := range m.Lifted {
		g.unbar(print, m.Node)
	}
}

// TakeKept takes up the requests that are kept for all nodes. One that was among them and
// stays away was lifted by another node.
func (g *Guard) TakeKept(kept []Verdict) {
	now := g.Clock.Now()
	there := map[Fingerprint]bool{}
	for _, v := range kept {
		there[v.Print] = true
		g.bar(v, "kept")
	}
	var gone []Fingerprint
	g.mu.Lock()
	for print, b := range g.bars {
		switch {
		case there[print]:
			b.kept, b.gone = true, 0
		case b.kept && b.gone == 0:
			b.gone = now
		case b.kept && now.Sub(b.gone) > rowGone:
			gone = append(gone, print)
		}
	}
	g.mu.Unlock()
	for _, print := range gone {
		g.unbar(print, "it is kept no more")
	}
}

// Barred is a request that is refused, and for how long it has been.
type Barred struct {
	Verdict
	Age time.Duration
}

// Over reports whether the request is to be forgotten.
func (b Barred) Over() bool { return b.Age > forgetAfter }

// Barred returns the requests that are refused.
func (g *Guard) Barred() []Barred {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Barred, 0, len(g.bars))
	for _, b := range g.bars {
		out = append(out, Barred{b.Verdict, now.Sub(b.since)})
	}
	return out
}

// bar refuses a request from now on.
func (g *Guard) bar(v Verdict, source string) {
	now := g.Clock.Now()
	g.mu.Lock()
	if b := g.bars[v.Print]; b != nil {
		if v.Tries > b.Tries {
			b.Verdict, b.since = v, now // another node tries it
		}
		g.mu.Unlock()
		return
	}
	if len(g.bars) >= mostBars {
		g.dropOldest()
	}
	g.bars[v.Print] = &bar{Verdict: v, since: now, sound: soundCounts{}}
	runs := g.history.runs(v.Print)
	g.mu.Unlock()
	g.metrics.found.Inc()
	g.Log.Warn("request is quarantined", "fingerprint", v.Print, "ends", v.Ends, "attempts", v.Attempts, "source", source, "for_ms", barFor.Milliseconds())
	if runs > 0 {
		g.tellSound(v.Print, runs)
	}
}

func (g *Guard) dropOldest() {
	var oldest Fingerprint
	for print, b := range g.bars {
		if o := g.bars[oldest]; o == nil || b.since.Before(o.since) {
			oldest = print
		}
	}
	delete(g.bars, oldest)
}

// lift ends the quarantine of a request at all nodes.
func (g *Guard) lift(print Fingerprint, reason string) {
	if !g.unbar(print, reason) {
		return
	}
	g.Announce(Message{Node: g.Node, Lifted: []Fingerprint{print}})
	if g.Drop != nil {
		g.Drop(print)
	}
}

// unbar reports whether the request was refused until now.
func (g *Guard) unbar(print Fingerprint, reason string) bool {
	g.mu.Lock()
	b := g.bars[print]
	delete(g.bars, print)
	g.tally.Clear(print)
	g.mu.Unlock()
	if b != nil {
		g.Log.Info("request is quarantined no more", "fingerprint", print, "reason", reason)
	}
	return b != nil
}

// expire forgets the requests that are over and that nobody else keeps.
func (g *Guard) expire(now clock.Instant) {
	for print, b := range g.bars {
		if !b.kept && now.Sub(b.since) > forgetAfter {
			delete(g.bars, print)
			g.Log.Info("request is quarantined no more", "fingerprint", print, "reason", "its time is over")
		}
	}
}
