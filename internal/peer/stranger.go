package peer

import (
	"context"
	"fmt"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// maxStrangers bounds the addresses that are known without a VM.
const maxStrangers = 64

// stranger is an address that was given without a VM, such as a seed from the
// settings.
type stranger struct {
	vm      fleet.VM // that answered there last; empty: none yet
	dialing bool
	wait    time.Duration
	retryAt clock.Instant
}

// SendAddr sends a message to whoever of the deployment answers at the address.
// It returns at once. While an earlier dial to the address runs, or the back-off
// after a failed one, the message is dropped and counted.
func (m *Mesh) SendAddr(addr, topic string, payload []byte) error {
	s, err := m.stranger(addr)
	if err != nil {
		return err
	}
	vm, dial := s.next(m)
	switch {
	case vm != "":
		return m.Send(vm, topic, payload)
	case !dial || !m.spawn(func() { m.meet(s, addr, topic, payload) }):
		m.metrics.dropped(topic, "link")
	}
	return nil
}

func (m *Mesh) stranger(addr string) (*stranger, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.strangers[addr]
	if s == nil {
		if len(m.strangers) >= maxStrangers {
			return nil, fmt.Errorf("peer: more than %d addresses without a VM; list fewer seeds", maxStrangers)
		}
		s = &stranger{}
		m.strangers[addr] = s
	}
	return s, nil
}

// next returns the VM to send to when its link lives. Otherwise it reports
// whether the address is to be dialled, by the caller. Without the first answer
// an address that its node doesn't advertise would get a new connection for each
// message.
func (s *stranger) next(m *Mesh) (vm fleet.VM, dial bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[s.vm]; l != nil && l.control.live() {
		return s.vm, false
	}
	if s.dialing || m.opts.Clock.Now().Before(s.retryAt) {
		return "", false
	}
	s.dialing = true
	return "", true
}

// meet dials a stranger and sends it the message under its name.
func (m *Mesh) meet(s *stranger, addr, topic string, payload []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.dialAddr(ctx, "", controlLane, addr)
	if err != nil {
		m.mu.Lock()
		s.dialing = false
		s.wait = backOff(s.wait, draw())
		s.retryAt = m.opts.Clock.Now().Add(s.wait)
		m.mu.Unlock()
		m.metrics.dialFailures.WithLabelValues(laneLabel(controlLane)).Inc()
		m.metrics.dropped(topic, "link")
		m.opts.Log.Debug("no node at the address", "addr", addr, "error", err)
		return
	}
	l := m.link(c.node.VM)
	l.learnAddr(addr)
	l.control.adopt(c)
	m.mu.Lock()
	*s = stranger{vm: c.node.VM}
	m.mu.Unlock()
	if err := m.Send(c.node.VM, topic, payload); err != nil {
		m.opts.Log.Error("message not sent", "topic", topic, "error", err)
	}
}
