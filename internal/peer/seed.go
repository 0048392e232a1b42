package peer

import (
	"context"
	"fmt"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// maxSeeds limits the number of addresses without a VM name.
const maxSeeds = 64

// seed is the state of an address without a VM name, such as a seed from the
// settings.
type seed struct {
	vm      fleet.VM // VM that last answered at the address; empty: none yet
	dialing bool
	backOff time.Duration
	retryAt clock.Instant
}

// SendAddr sends a message to the node of the deployment that answers at the
// address. It returns immediately. During an earlier dial to the address, or
// the back-off after a failed one, the message is dropped and counted.
func (m *Mesh) SendAddr(addr, topic string, payload []byte) error {
	s, err := m.seed(addr)
	if err != nil {
		return err
	}
	vm, dial := s.resolve(m)
	switch {
	case vm != "":
		return m.Send(vm, topic, payload)
	case !dial || !m.spawn(func() { m.dialSeed(s, addr, topic, payload) }):
		m.metrics.countDropped(topic, "link")
	}
	return nil
}

func (m *Mesh) seed(addr string) (*seed, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.seeds[addr]
	if s == nil {
		if len(m.seeds) >= maxSeeds {
			return nil, fmt.Errorf("peer: more than %d addresses without a VM name; configure fewer seeds", maxSeeds)
		}
		s = &seed{}
		m.seeds[addr] = s
	}
	return s, nil
}

// resolve returns the VM last found at the address if its control connection is
// open. Otherwise dial reports whether the caller must dial the address. Without
// this lookup, an address that its node doesn't advertise would get a new
// connection for each message.
func (s *seed) resolve(m *Mesh) (vm fleet.VM, dial bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[s.vm]; l != nil && l.control.isConnected() {
		return s.vm, false
	}
	if s.dialing || m.opts.Clock.Now().Before(s.retryAt) {
		return "", false
	}
	s.dialing = true
	return "", true
}

// dialSeed dials the address, records which VM answers there and sends it the message.
func (m *Mesh) dialSeed(s *seed, addr, topic string, payload []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.dialAddr(ctx, "", controlProtocol, addr)
	if err != nil {
		m.mu.Lock()
		s.dialing = false
		s.backOff = backOff(s.backOff, randomFraction())
		s.retryAt = m.opts.Clock.Now().Add(s.backOff)
		m.mu.Unlock()
		m.metrics.dialFailures.WithLabelValues(laneLabel(controlProtocol)).Inc()
		m.metrics.countDropped(topic, "link")
		m.opts.Log.Debug("cannot connect to seed address", "addr", addr, "error", err)
		return
	}
	l := m.link(c.node.VM)
	l.setAddrIfUnknown(addr)
	l.control.adopt(c)
	m.mu.Lock()
	*s = seed{vm: c.node.VM}
	m.mu.Unlock()
	if err := m.Send(c.node.VM, topic, payload); err != nil {
		m.opts.Log.Error("message not sent", "topic", topic, "error", err)
	}
}
