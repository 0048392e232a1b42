// Package netfault is a UDP relay that injects network faults: it can drop all
// datagrams of a direction, drop a random fraction of them, or delay them. Tests place
// it between two processes that communicate by QUIC.
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
	maxDatagram = 64 << 10 // bytes
	maxClients  = 1024     // datagrams of further clients are dropped
	queueSize   = 4096     // datagrams in flight per direction and client; further ones are dropped
)

// defaultSeed makes the losses of a relay reproducible.
const defaultSeed = 1

// Relay forwards datagrams between up to maxClients clients and one target. Each
// client has its own socket towards the target, which identifies the client of a
// reply. It is safe for concurrent use.
type Relay struct {
	clientConn *net.UDPConn
	target     *net.UDPAddr
	ctx        context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup

	cutToTarget, cutFromTarget atomic.Bool
	delay                      atomic.Int64 // nanoseconds

	mu           sync.Mutex
	lossFraction float64 // fraction of datagrams to drop, 0 to 1
	rand         *rand.Rand
	clients      map[string]*clientPath // by client address
}

// clientPath is the connection of one client to the target.
type clientPath struct {
	client     *net.UDPAddr
	targetConn *net.UDPConn // socket towards the target
	toTarget   chan datagram
	toClient   chan datagram
}

type datagram struct {
	due  time.Time // when to send it
	data []byte
}

// NewRelay returns a relay to target (ip:port) that listens on a free loopback port.
func NewRelay(target string) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, fmt.Errorf("netfault: resolve the relay's target %q: %w", target, err)
	}
	clientConn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("netfault: listen on the loopback address: %w", err)
	}
	r := &Relay{clientConn: clientConn, target: addr, clients: make(map[string]*clientPath)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.Seed(defaultSeed)
	r.work.Go(r.receiveFromClients)
	return r, nil
}

// Addr returns the address that clients send to.
func (r *Relay) Addr() string { return r.clientConn.LocalAddr().String() }

// Cut drops all datagrams of the directions that are true, and forwards the others.
func (r *Relay) Cut(toTarget, fromTarget bool) {
	r.cutToTarget.Store(toTarget)
	r.cutFromTarget.Store(fromTarget)
}

// SetLoss drops the given fraction of datagrams, 0 to 1, in both directions.
func (r *Relay) SetLoss(fraction float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossFraction = fraction
}

// Seed reseeds the random source of the losses.
func (r *Relay) Seed(seed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rand = rand.New(rand.NewPCG(seed, seed))
}

// SetDelay delays each datagram by d, in each direction, without reordering.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Close stops the relay and waits until its goroutines have ended.
func (r *Relay) Close() error {
	r.cancel()
	err := r.clientConn.Close()
	r.mu.Lock()
	for _, p := range r.clients {
		err = errors.Join(err, p.targetConn.Close())
	}
	r.mu.Unlock()
	r.work.Wait()
	return err
}

// receiveFromClients reads the clients' datagrams and queues them for the target.
func (r *Relay) receiveFromClients() {
	buf := make([]byte, maxDatagram)
	for {
		n, client, err := r.clientConn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram
		}
		p := r.pathFor(client)
		if p != nil && !r.cutToTarget.Load() && !r.drawLoss() {
			r.enqueue(p.toTarget, buf[:n])
		}
	}
}

// receiveFromTarget reads the target's datagrams for one client and queues them for it.
func (r *Relay) receiveFromTarget(p *clientPath) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := p.targetConn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target does not listen at the moment
		}
		if !r.cutFromTarget.Load() && !r.drawLoss() {
			r.enqueue(p.toClient, buf[:n])
		}
	}
}

// pathFor returns the client's path, which it opens for a new client. It returns nil if
// there are maxClients already, the relay is closed or no socket can be opened.
func (r *Relay) pathFor(client *net.UDPAddr) *clientPath {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := client.String()
	if p := r.clients[key]; p != nil {
		return p
	}
	if len(r.clients) >= maxClients || r.ctx.Err() != nil {
		return nil
	}
	targetConn, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	p := &clientPath{
		client: client, targetConn: targetConn,
		toTarget: make(chan datagram, queueSize), toClient: make(chan datagram, queueSize),
	}
	r.clients[key] = p
	r.work.Go(func() { r.receiveFromTarget(p) })
	r.work.Go(func() { r.deliver(p.toTarget, func(b []byte) { _, _ = p.targetConn.Write(b) }) })
	r.work.Go(func() { r.deliver(p.toClient, func(b []byte) { _, _ = r.clientConn.WriteToUDP(b, p.client) }) })
	return p
}

// drawLoss draws whether to drop one datagram.
func (r *Relay) drawLoss() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lossFraction > 0 && r.rand.Float64() < r.lossFraction
}

// enqueue queues a copy of data. If the queue is full, the datagram is dropped, as by a
// router.
func (r *Relay) enqueue(queue chan<- datagram, data []byte) {
	d := datagram{due: time.Now().Add(time.Duration(r.delay.Load())), data: append([]byte(nil), data...)}
	select {
	case queue <- d:
	default:
	}
}

// deliver sends the queued datagrams of one direction when they are due, until the
// relay is closed.
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

// sleepUntil waits until t and returns true, or false if the relay is closed first.
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
