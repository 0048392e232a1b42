package links

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chervilloom/internal/clock"
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
	// downDuration is how long their word holds for further connections that are refused.
	downDuration = time.Second
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
	down    map[string]downVerdict
}

// downVerdict is the word of other nodes that an endpoint is down.
type downVerdict struct {
	err error
	at  clock.Instant
}

// Init prepares the dialer of a node in zone.
func (d *Dialer) Init(zone string) *Dialer {
	d.choice.Zone = zone
	d.Monitor.Verify = d.Verify
	d.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d.down = map[string]downVerdict{}
	d.limiter = rate.NewLimiter(relayRate, relayBurst)
	return d
}

// AllZones allows connections through nodes of every zone.
func AllZones(string) bool { return true }

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
	ctx, cancel := d.Monitor.Lateness.WithTimeout(ctx, Timeout)
	defer cancel()
	r := &race{d: d, ctx: ctx, addr: addr, relayFirst: d.Monitor.IsLost(addr), noDirect: noDirect}
	r.selectPeers = func() []Peer { return d.selectPeers(allowed) }
	conn, peer, err := r.run()
	if err != nil && noDirect && r.endpointDown == nil {
		if r.peersAsked > 0 { // otherwise no node is allowed for this connection alone
			d.recordNoPath()
		}
		return nil, Peer{}, fmt.Errorf("%w: %w", ErrNoPath, err)
	}
	return conn, peer, err
}

// Verify finds out who can connect to an endpoint: this node, or, if that fails or takes too long,
// another one.
func (d *Dialer) Verify(ctx context.Context, addr string) Finding {
	ctx, cancel := d.Monitor.Lateness.WithTimeout(ctx, verifyTimeout)
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

// recordDown records the word of minVerdicts other nodes that an endpoint is down.
func (d *Dialer) recordDown(addr string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	maps.DeleteFunc(d.down, func(_ string, v downVerdict) bool { return now.Sub(v.at) > downDuration })
	d.down[addr] = downVerdict{err, now}
}

// foundDownLately returns the error of an endpoint that other nodes found down lately, or nil.
func (d *Dialer) foundDownLately(addr string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := d.down[addr]; ok && d.Clock.Now().Sub(v.at) <= downDuration {
		return v.err
	}
	return nil
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
