package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
)

// Pool keeps idle connections by address.
type Pool struct {
	Clock clock.Clock
	// Dial opens a connection; nil: TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Conn // the one used last is the last
}

const (
	// userTimeout ends a connection whose peer acknowledges nothing: a peer that
	// lost power or is behind a partition sends no reset.
	userTimeout = 2 * time.Second
	readBuffer  = 4 << 10
)

// Get returns an idle connection to addr, or a new one. With fresh it always
// opens one: a request that may run only once can't be sent again when an idle
// connection turns out to be closed.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return &Conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), idleLimit: idleDefault}, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := (&net.Dialer{KeepAlive: userTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(nc); err != nil {
		nc.Close()
		return nil, err
	}
	return nc, nil
}

func setUserTimeout(nc net.Conn) error {
	tcp, ok := nc.(*net.TCPConn)
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

func (p *Pool) takeIdle(addr string) *Conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if p.Clock.Now().Sub(c.idleSince) < c.idleLimit && c.live() {
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[addr] = idle[:len(idle)-1]
	return c
}

// Put gives a connection back after the body of resp was read to its end. It
// is closed when it must not carry another request, or when keep connections to
// the endpoint are idle already.
func (p *Pool) Put(c *Conn, resp *http.Response, keep int) {
	if c.spoiled || resp == nil || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.used = true
	c.idleLimit = keepAlive(resp.Header)
	c.idleSince = p.Clock.Now()
	if !p.push(c, keep) {
		c.Close()
	}
}

// Return gives back a connection over which nothing was sent.
func (p *Pool) Return(c *Conn, keep int) {
	if !c.used {
		c.idleSince = p.Clock.Now()
	}
	if c.spoiled || !p.push(c, keep) {
		c.Close()
	}
}

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

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleLimit {
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
