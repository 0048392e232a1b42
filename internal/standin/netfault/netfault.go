// Package netfault is a relay for datagrams whose faults can be switched: it
// drops all datagrams of a direction, loses a share of them, or delays them.
// Tests put it between two processes that speak QUIC.
package netfault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a relay.
const (
	maxDatagram = 64 << 10
	maxClients  = 1024 // datagrams of further ones are dropped
	queueSize   = 4096 // datagrams in flight per direction and client; further ones are dropped
)

// defaultSeed makes the losses of a relay the same in each run.
const defaultSeed = 1

// Relay passes datagrams between any number of clients and one target. Each
// client has a socket of its own towards the target, so that answers find back.
// It is safe for concurrent use.
type Relay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	cutToTarget, cutFromTarget atomic.Bool
	delay                      atomic.Int64 // nanoseconds

	mu      sync.Mutex
	loss    float64
	rand    *rand.Rand
	clients map[string]*path
}

// path joins one client to the target.
type path struct {
	client   *net.UDPAddr
	back     *net.UDPConn
	toTarget chan datagram
	toClient chan datagram
}

type datagram struct {
	due  time.Time
	data []byte
}

// NewRelay returns a relay to target (ip:port) that listens on a free port of
// the loopback address.
func NewRelay(target string) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("relay: target %q: %w", target, err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{front: front, target: addr, clients: make(map[string]*path)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.Seed(defaultSeed)
	r.work.Go(r.receive)
	return r, nil
}

// Addr returns the address that clients send to.
func (r *Relay) Addr() string { return r.front.LocalAddr().String() }

// Cut drops all datagrams of the directions given as true, and passes the others.
func (r *Relay) Cut(toTarget, fromTarget bool) {
	r.cutToTarget.Store(toTarget)
	r.cutFromTarget.Store(fromTarget)
}

// Loss drops a share of the datagrams, 0 to 1, in both directions.
func (r *Relay) Loss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

// Seed restarts the draws of the losses.
func (r *Relay) Seed(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rand = rand.New(rand.NewPCG(seed, seed))
}

// Delay holds each datagram back for d, in each direction. Their order stays.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Close ends the relay and waits for its goroutines.
func (r *Relay) Close() error {
	r.cancel()
	err := r.front.Close()
	r.mu.Lock()
	for _, p := range r.clients {
		err = errors.Join(err, p.back.Close())
	}
	r.mu.Unlock()
	r.work.Wait()
	return err
}

// receive takes the clients' datagrams.
func (r *Relay) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, client, err := r.front.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier datagram
		}
		p := r.pathOf(client)
		if p != nil && !r.cutToTarget.Load() && !r.lost() {
			r.offer(p.toTarget, buf[:n])
		}
	}
}

// answer takes the target's datagrams to one client.
func (r *Relay) answer(p *path) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := p.back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target is not listening just now
		}
		if !r.cutFromTarget.Load() && !r.lost() {
			r.offer(p.toClient, buf[:n])
		}
	}
}

// pathOf returns the client's path, or nil when there are too many.
func (r *Relay) pathOf(client *net.UDPAddr) *path {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := client.String()
	if p := r.clients[key]; p != nil {
		return p
	}
	if len(r.clients) >= maxClients || r.ctx.Err() != nil {
		return nil
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	p := &path{
		client: client, back: back,
		toTarget: make(chan datagram, queueSize), toClient: make(chan datagram, queueSize),
	}
	r.clients[key] = p
	r.work.Go(func() { r.answer(p) })
	r.work.Go(func() { r.deliver(p.toTarget, func(b []byte) { _, _ = p.back.Write(b) }) })
	r.work.Go(func() { r.deliver(p.toClient, func(b []byte) { _, _ = r.front.WriteToUDP(b, p.client) }) })
	return p
}

func (r *Relay) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loss > 0 && r.rand.Float64() < r.loss
}

// offer queues a copy of data; a full queue drops it, as a router would.
func (r *Relay) offer(queue chan<- datagram, data []byte) {
	d := datagram{due: time.Now().Add(time.Duration(r.delay.Load())), data: append([]byte(nil), data...)}
	select {
	case queue <- d:
	default:
	}
}

// deliver sends the datagrams of one direction when they are due.
func (r *Relay) deliver(queue <-chan datagram, send func([]byte)) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-queue:
			if !r.sleepUntil(d.due) {
				return
			}
			send(d.data)
		}
	}
}

func (r *Relay) sleepUntil(t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}
