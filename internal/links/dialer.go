package links

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"chervilloom/internal/clock"
	"chervilloom/internal/tunnel"
)

const (
	// Timeout is the timeout for connecting to an endpoint over all ways.
	Timeout = 300 * time.Millisecond
	// verifyTimeout leaves other nodes time to find that an endpoint doesn't answer them either.
	verifyTimeout = 600 * time.Millisecond
	// hedgeDelay is how long a direct connection may take before another node is asked for one
	// as well. A round trip takes up to 6 ms.
	hedgeDelay = 80 * time.Millisecond
	// peerDelay is the same for a connection through another node, which may have lost its
	// links without knowing it.
	peerDelay = 50 * time.Millisecond
	// noPathDuration is how long connections fail at once after neither this node nor another
	// one could open one.
	noPathDuration = 200 * time.Millisecond
	// relayRate and relayBurst bound the connections through other nodes while this node has its
	// links: a mass loss of endpoints must not add a call to a node for each attempt.
	relayRate  = 50
	relayBurst = 50
	// minVerdicts is the number of nodes that must find an endpoint down before it counts as
	// such: the first one may have lost its own link to it.
	minVerdicts = 2
)

// ErrNoPath means that this node has lost its links to the endpoints and found no other node that
// has some.
var ErrNoPath = errors.New("links: this node has no links to endpoints and found no node that has; try again")

// errNoWay means that there was nothing to try.
var errNoWay = errors.New("links: no other node is known")

// Dialer opens connections to endpoints, directly or through other nodes.
type Dialer struct {
	Clock   clock.Clock
	Monitor *Monitor
	// Peers returns the other nodes.
	Peers func() PeersByZone
	// Relay opens a connection to an endpoint through another node.
	Relay func(ctx context.Context, peer, addr string) (net.Conn, error)

	limiter *rate.Limiter
	mu      sync.Mutex
	choice  PeerChoice
	rnd     *rand.Rand
	noPath  clock.Instant // when the latest connection found no path
}

// Init prepares the dialer of a node in zone.
func (d *Dialer) Init(zone string) *Dialer {
	d.choice.Zone = zone
	d.Monitor.Verify = d.Verify
	d.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.limiter = rate.NewLimiter(relayRate, relayBurst)
	return d
}

// AllZones allows connections through nodes of every zone.
func AllZones(string) bool { return true }

// attempt is the result of one way to open a connection.
type attempt struct {
	peer Peer
	conn net.Conn
	err  error
}

// Dial opens a connection to the endpoint at addr. It first tries the way that probably works and
// adds the next one when that fails or takes too long; the first connection that opens is
// returned. allowed restricts the zones of the nodes that may pass the connection on. Dial fails
// with ErrNoPath, or with the endpoint's own failure.
func (d *Dialer) Dial(ctx context.Context, addr string, allowed func(zone string) bool) (net.Conn, Peer, error) {
	// While all links are lost, the monitor's checks find out when they are back.
	noDirect := d.Monitor.AreAllLost() && !d.Peers().isEmpty()
	if noDirect && d.foundNoPathLately() {
		return nil, Peer{}, ErrNoPath
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	r := &race{d: d, ctx: ctx, addr: addr, relayFirst: d.Monitor.IsLost(addr), noDirect: noDirect}
	r.selectPeers = func() []Peer { return d.selectPeers(allowed) }
	conn, peer, err := r.run()
	if err != nil && noDirect && r.endpointDown == nil {
		d.recordNoPath()
		return nil, Peer{}, fmt.Errorf("%w: %w", ErrNoPath, err)
	}
	return conn, peer, err
}

// Verify finds out who can connect to an endpoint: this node, or, if that fails or takes too long,
// another one.
func (d *Dialer) Verify(ctx context.Context, addr string) Finding {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	r := &race{d: d, ctx: ctx, addr: addr, selectPeers: func() []Peer { return d.selectPeers(AllZones) }}
	conn, peer, err := r.run()
	if err != nil {
		return Nobody
	}
	conn.Close()
	if peer.IsDirect() {
		return ThisNode
	}
	return OtherNode
}

// DialContext opens a connection for an HTTP client.
func (d *Dialer) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	conn, _, err := d.Dial(ctx, addr, AllZones)
	return conn, err
}

func (d *Dialer) foundNoPathLately() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noPath != 0 && d.Clock.Now().Sub(d.noPath) < noPathDuration
}

func (d *Dialer) recordNoPath() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noPath = d.Clock.Now()
}

// KnowsPath reports whether another node passed a connection on lately.
func (d *Dialer) KnowsPath() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choice.expire(d.Clock.Now())
	return len(d.choice.good) > 0
}

// selectPeers returns the nodes to ask for a connection.
func (d *Dialer) selectPeers(allowed func(zone string) bool) []Peer {
	peers := d.Peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.choice.Select(peers, allowed, d.rnd, d.Clock.Now())
}

// recordPeer records whether a node could pass a connection on.
func (d *Dialer) recordPeer(p Peer, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.choice.RecordGood(p, d.Clock.Now())
		return
	}
	d.choice.RecordUnfit(p, d.Clock.Now())
}

// race opens one connection over several ways.
type race struct {
	d           *Dialer
	ctx         context.Context
	addr        string
	relayFirst  bool // the direct way is tried last
	noDirect    bool // the direct way isn't tried
	selectPeers func() []Peer

	results chan attempt
	pending int

	peers        []Peer // not asked yet
	peersChosen  bool
	directSince  clock.Instant // start of the direct attempt; 0: not started
	directErr    error         // its failure
	endpointDown error         // the word of other nodes that the endpoint is down
	verdicts     int           // number of these nodes
	lastErr      error
}

// run starts one attempt after the other until a connection opens or all have failed.
func (r *race) run() (net.Conn, Peer, error) {
	r.results = make(chan attempt, maxPeers+1)
	delay, ok := r.startNext()
	for ok || r.pending > 0 {
		var next <-chan time.Time
		var timer *time.Timer
		if ok {
			timer = time.NewTimer(delay)
			next = timer.C
		}
		select {
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				r.win(a)
				return a.conn, a.peer, nil
			}
			r.recordFailure(a)
			if r.verdicts >= minVerdicts {
				return nil, Peer{}, r.fail()
			}
			if ok {
				delay, ok = r.startNext()
			}
			if ok && a.peer.IsDirect() && r.isRefused() {
				// Either the endpoint has ended or the link is lost: two nodes tell which.
				delay, ok = r.startNext()
			}
		case <-next:
			if len(r.results) == 0 { // the timer may fire late, together with a result
				delay, ok = r.startNext()
			}
		case <-r.ctx.Done():
			r.lastErr = r.ctx.Err()
			return nil, Peer{}, r.fail()
		}
		if timer != nil {
			timer.Stop()
		}
	}
	return nil, Peer{}, r.fail()
}

// startNext starts the next attempt. It returns the time until the one after it, and whether any
// attempt was started.
func (r *race) startNext() (time.Duration, bool) {
	mayGoDirect := r.directSince == 0 && !r.noDirect
	if !r.relayFirst && mayGoDirect {
		r.startDirect()
		return hedgeDelay, true
	}
	if p, ok := r.nextPeer(); ok {
		r.start(p, func() (net.Conn, error) { return r.d.Relay(r.ctx, p.Addr, r.addr) })
		return peerDelay, true
	}
	if mayGoDirect {
		r.startDirect()
		return hedgeDelay, true
	}
	return 0, false
}

func (r *race) nextPeer() (Peer, bool) {
	if !r.peersChosen {
		r.peersChosen = true
		if r.relayFirst || r.d.limiter.Allow() {
			r.peers = r.selectPeers()
		}
	}
	if len(r.peers) == 0 {
		return Peer{}, false
	}
	p := r.peers[0]
	r.peers = r.peers[1:]
	return p, true
}

func (r *race) startDirect() {
	r.directSince = r.d.Clock.Now()
	r.start(Peer{}, func() (net.Conn, error) { return r.d.Monitor.Dial(r.ctx, r.addr) })
}

// start makes an attempt in its own goroutine. A connection that opens after the end of the race
// is closed.
func (r *race) start(p Peer, dial func() (net.Conn, error)) {
	r.pending++
	go func() {
		conn, err := dial()
		if err == nil && r.ctx.Err() != nil {
			conn.Close()
			err = r.ctx.Err()
		}
		r.results <- attempt{p, conn, err}
	}()
}

// win records the outcome of a race in which a connection opened, and closes those that open
// later.
func (r *race) win(a attempt) {
	m := r.d.Monitor
	if a.peer.IsDirect() {
		m.RecordConnect(r.addr)
	} else {
		m.metrics.relayed.WithLabelValues("connected").Inc()
		r.d.recordPeer(a.peer, nil)
		r.recordDirectFailure(true)
	}
	r.drain()
}

// recordFailure records a failed attempt.
func (r *race) recordFailure(a attempt) {
	r.lastErr = a.err
	switch {
	case a.peer.IsDirect():
		r.directErr = a.err
	case errors.Is(a.err, tunnel.ErrEndpointDown):
		r.d.Monitor.metrics.relayed.WithLabelValues("endpoint_down").Inc()
		r.endpointDown = a.err
		r.verdicts++
	case errors.Is(a.err, tunnel.ErrNoLink):
		r.d.Monitor.metrics.relayed.WithLabelValues("no_link").Inc()
	default:
		r.d.Monitor.metrics.relayed.WithLabelValues("unfit").Inc()
		r.d.recordPeer(a.peer, a.err)
	}
}

// fail records the outcome of a race in which no connection opened and returns the error.
func (r *race) fail() error {
	r.drain()
	switch {
	case r.endpointDown != nil:
		r.d.Monitor.RecordEndpointDown(r.addr)
		return r.endpointDown
	case errors.Is(r.ctx.Err(), context.Canceled):
		return r.ctx.Err() // the caller has given up
	}
	r.recordDirectFailure(false)
	return cmp.Or(r.directErr, r.lastErr, errNoWay)
}

// isRefused reports whether the direct connection was refused or reset.
func (r *race) isRefused() bool {
	return errors.Is(r.directErr, syscall.ECONNREFUSED) || errors.Is(r.directErr, syscall.ECONNRESET)
}

// recordDirectFailure records that the direct attempt failed or takes too long, if there was one.
func (r *race) recordDirectFailure(confirmed bool) {
	if r.directSince == 0 {
		return
	}
	if r.directErr == nil && r.d.Clock.Now().Sub(r.directSince) < hedgeDelay {
		return
	}
	r.d.Monitor.RecordFailure(Failure{Addr: r.addr, StartedAt: r.directSince, Hung: !r.isRefused(), Confirmed: confirmed})
}

// drain closes the connections that open after the end of the race.
func (r *race) drain() {
	if r.pending == 0 {
		return
	}
	go func() {
		for range r.pending {
			if late := <-r.results; late.err == nil {
				late.conn.Close()
			}
		}
	}()
}
