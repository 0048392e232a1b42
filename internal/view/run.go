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
	// PublishEvery bounds how often a new snapshot is built.
	PublishEvery = 50 * time.Millisecond
	// mailboxSize bounds the subjects that wait to be merged: several events
	// for each of some thousand endpoints. When it is full the event of a new
	// subject is dropped and counted; the subject's next report replaces it.
	mailboxSize = 16384
)

// Merger is the goroutine that merges events and publishes snapshots.
type Merger struct {
	clock   clock.Clock
	state   *State // touched by Run alone
	in      *ring.Latest[subject, Event]
	newest  atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewMerger returns a merger for the node; it has a snapshot from the start.
func NewMerger(self fleet.Node, zone fleet.AvailabilityZone, c clock.Clock) *Merger {
	m := &Merger{
		clock: c, state: NewState(self, zone),
		in: ring.NewLatest[subject, Event](mailboxSize), changed: make(chan struct{}, 1),
	}
	m.newest.Store(m.state.Snapshot(c.Now()))
	return m
}

// Put hands an event to the merger; it never blocks.
func (m *Merger) Put(e Event) { m.in.Put(e.subject(), e) }

// Snapshot returns the newest snapshot; never nil.
func (m *Merger) Snapshot() *Snapshot { return m.newest.Load() }

// Changed receives after a new snapshot was published; a receive stands for
// any number of them. One goroutine may receive.
func (m *Merger) Changed() <-chan struct{} { return m.changed }

// Run merges until ctx ends.
func (m *Merger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.in.Wake():
		}
		if m.merge() {
			m.publish()
			pause(ctx, PublishEvery)
		}
	}
}

func (m *Merger) merge() bool {
	changed := false
	for _, e := range m.in.Take() {
		if m.state.Apply(e) {
			changed = true
		}
	}
	return changed
}

func (m *Merger) publish() {
	m.newest.Store(m.state.Snapshot(m.clock.Now()))
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
