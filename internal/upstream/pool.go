package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
	"chervilloom/internal/memory"
)

// Peer is another node that passes a connection on to an endpoint. The zero value stands for a
// direct connection.
type Peer struct {
	Addr string // for other nodes, ip:port
	Zone string
}

// IsDirect reports whether there is no other node between.
func (p Peer) IsDirect() bool { return p == Peer{} }

// Pool opens connections and keeps idle ones by address.
type Pool struct {
	Clock clock.Clock
	// Dial opens a connection, directly or through a node of an allowed zone; nil: direct TCP.
	Dial func(ctx context.Context, addr string, allowed func(zone string) bool) (net.Conn, Peer, error)
	// IsUsable reports whether an idle connection that takes the given way to an endpoint may be
	// used; nil: always.
	IsUsable func(addr string, peer Peer) bool

	mu   sync.Mutex
	idle map[string][]*Conn // by address, the most recently used connection last
}

const (
	// userTimeout is the TCP_USER_TIMEOUT, after which a connection fails whose peer
	// acknowledges nothing. A peer without power or behind a partition sends no reset. It also
	// ends connections by unanswered keep-alive probes, so it leaves time for several of them: a
	// sound peer may fall silent for a second or two.
	userTimeout       = 3 * time.Second
	keepAliveInterval = time.Second
	readBufferBytes   = 4 << 10
)

// keepAlive sets the interval between probes too, which is 15 s otherwise.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval}

// Get returns an idle connection to addr, or a new one. With fresh it always opens a new
// one: a request that may run only once cannot be sent again if an idle connection turns
// out to be closed. Connections through nodes of zones that are not allowed are left out. It fails
// with ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool, allowed func(zone string) bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(addr, allowed); c != nil {
			return c, nil
		}
	}
	dial := p.Dial
	if dial == nil {
		dial = dialDirect
	}
	nc, peer, err := dial(ctx, addr, allowed)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(nc, peer, addr), nil
}

func dialDirect(ctx context.Context, addr string, _ func(zone string) bool) (net.Conn, Peer, error) {
	nc, err := DialTCP(ctx, addr)
	return nc, Peer{}, err
}

// DialTCP opens a TCP connection with keep-alive probes, the user timeout and a bounded receive buffer:
// a response that its client doesn't read stays with the endpoint.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := (&net.Dialer{KeepAliveConfig: keepAlive, Control: memory.SetReceiveBuffer}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(nc); err != nil {
		nc.Close()
		return nil, err
	}
	return nc, nil
}

// SetTimeouts sets keep-alive probes and the user timeout of an accepted TCP connection.
func SetTimeouts(nc net.Conn) error {
	if tcp, ok := nc.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
			return err
		}
	}
	return setUserTimeout(nc)
}

// setUserTimeout sets the user timeout of a TCP connection.
func setUserTimeout(nc net.Conn) error {
	tcp, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// takeIdle returns a usable idle connection to addr, or nil. Unusable ones are closed.
func (p *Pool) takeIdle(addr string, allowed func(zone string) bool) *Conn {
	for {
		c := p.pop(addr, allowed)
		if c == nil {
			return nil
		}
		if p.Clock.Now().Sub(c.idleSince) < c.idleLimit && (p.IsUsable == nil || p.IsUsable(addr, c.Peer)) && c.isReusable() {
			return c
		}
		c.Close()
	}
}

// pop removes and returns the most recently used idle connection to addr that is direct or passes
// a node of an allowed zone, or nil.
func (p *Pool) pop(addr string, allowed func(zone string) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; c.Peer.IsDirect() || allowed(c.Peer.Zone) {
			p.idle[addr] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool after the body of resp was read to its end. The
// connection is closed if it must not be reused, or if there are already keep idle
// connections to the endpoint.
func (p *Pool) Put(c *Conn, resp *http.Response, keep int) {
	if resp == nil || !c.mayBeReused() {
		c.Close()
		return
	}
	c.used = true
	c.idleLimit = idleLimitFrom(resp.Header)
	c.idleSince = p.Clock.Now()
	if !p.push(c, keep) {
		c.Close()
	}
}

// PutUnused returns a connection to the pool on which nothing was sent since Get.
func (p *Pool) PutUnused(c *Conn, keep int) {
	if !c.used {
		c.idleSince = p.Clock.Now()
	}
	if !c.mayBeReused() || !p.push(c, keep) {
		c.Close()
	}
}

// push adds an idle connection. It returns false if there are already keep idle connections
// to its address.
func (p *Pool) push(c *Conn, keep int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.addr]) >= keep {
		return false
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	return true
}

// CloseExpired closes the connections whose idle limit has passed, and those through other nodes
// that end them.
func (p *Pool) CloseExpired() {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleLimit && (c.Peer.IsDirect() || c.isReusable()) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}
