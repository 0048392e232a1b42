package links

import (
	"cmp"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/tunnel"
)

// attempt is the result of one way to open a connection.
type attempt struct {
	peer Peer
	conn net.Conn
	err  error
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
	peersAsked   int
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
			if r.isKnownDown(a) {
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
	r.peersAsked++
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

// isKnownDown reports whether other nodes have found the endpoint down, now or, if the failed
// attempt is a direct one that was refused, lately.
func (r *race) isKnownDown(failed attempt) bool {
	if r.verdicts >= minVerdicts {
		r.d.recordDown(r.addr, r.endpointDown)
		return true
	}
	if failed.peer.IsDirect() && r.isRefused() {
		r.endpointDown = cmp.Or(r.endpointDown, r.d.foundDownLately(r.addr))
		return r.endpointDown != nil && r.verdicts == 0
	}
	return false
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
