package view

import (
	"context"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/ring"
)

const (
	// PublishInterval is the minimum interval between new snapshots.
	PublishInterval = 50 * time.Millisecond
	// mailboxSize bounds the subjects that wait to be merged: several events
	// for each of some thousand endpoints. When the mailbox is full, the event
	// of a new subject is dropped and counted; the subject's next report
	// replaces it.
	mailboxSize = 16384
)

// Merger merges events in its own goroutine and publishes snapshots.
type Merger struct {
	clock   clock.Clock
	state   *State // used by Run only
	mailbox *ring.Latest[subject, Event]
	latest  atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewMerger returns a merger for the node, with an empty snapshot already
// published.
func NewMerger(self fleet.Node, zone fleet.AvailabilityZone, c clock.Clock) *Merger {
	m := &Merger{
		clock: c, state: NewState(self, zone),
		mailbox: ring.NewLatest[subject, Event](mailboxSize), changed: make(chan struct{}, 1),
	}
	m.latest.Store(m.state.Snapshot(c.Now()))
	return m
}

// Put queues an event for merging; it never blocks.
func (m *Merger) Put(e Event) { m.mailbox.Put(e.subject(), e) }

// Snapshot returns the newest snapshot; it is never nil.
func (m *Merger) Snapshot() *Snapshot { return m.latest.Load() }

// Changed returns a channel that receives after a new snapshot has been
// published; one receive may cover several snapshots. Only one goroutine may
// receive.
func (m *Merger) Changed() <-chan struct{} { return m.changed }

// Run merges events and publishes snapshots until ctx ends.
func (m *Merger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.mailbox.Wake():
		}
		if m.merge() {
			m.publish()
			sleep(ctx, PublishInterval)
		}
	}
}

func (m *Merger) merge() bool {
	changed := false
	for _, e := range m.mailbox.Drain() {
		if m.state.Apply(e) {
			changed = true
		}
	}
	return changed
}

func (m *Merger) publish() {
	m.latest.Store(m.state.Snapshot(m.clock.Now()))
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
