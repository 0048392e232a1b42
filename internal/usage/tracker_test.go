package usage

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

type fixedView struct{ s *view.Snapshot }

func (v fixedView) Snapshot() *view.Snapshot { return v.s }

// link delivers a tracker's messages to another.
type link struct {
	from fleet.Node
	to   *Tracker
}

func (w *link) Broadcast(topic string, payload []byte) {
	if topic == Topic {
		w.to.Handle(w.from, payload)
	}
}

func startPair(t *testing.T) (busy, idle *Tracker) {
	t.Helper()
	var links [2]*link
	var trackers [2]*Tracker
	for i := range trackers {
		links[i] = &link{from: testNode(i)}
		s := &view.Snapshot{
			Self: testNode(i), Revision: 1,
			Config: &config.Document{Organisations: []config.Organisation{{Name: string(testOrg), Rate: 100, Lookups: 100}}},
			Nodes:  []view.Node{{Node: testNode(1 - i), State: view.NodeAlive}},
		}
		trackers[i] = New(Options{
			Peers: links[i], View: fixedView{s}, Clock: clock.Boot{},
			Log: slog.New(slog.DiscardHandler), Registerer: prometheus.NewRegistry(),
		})
	}
	links[0].to, links[1].to = trackers[1], trackers[0]
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, tr := range trackers {
		wg.Go(func() { tr.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return trackers[0], trackers[1]
}

// All lookups of an organisation arrive at one of two nodes. The nodes exchange
// claims, and the busy one gets most of the cap on lookups; the cap on model
// requests, of which there are none, stays evenly shared.
func TestTrackersShiftShares(t *testing.T) {
	is := is.New(t)
	busy, idle := startPair(t)
	model, lookups := busy.Shares(testOrg)
	is.Equal(model, 0.5)
	is.Equal(lookups, 0.5)

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		busy.Count(testOrg, request.ClassLookup)
		_, busyShare := busy.Shares(testOrg)
		_, idleShare := idle.Shares(testOrg)
		if busyShare > 0.7 && idleShare < 0.3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.NoErr(ctx.Err())
	model, _ = busy.Shares(testOrg)
	is.Equal(model, 0.5)
}

// Messages that cannot be decoded and messages that exceed the queue must not
// change the shares.
func TestTrackerIgnoresInvalidAndExcessMessages(t *testing.T) {
	is := is.New(t)
	busy, _ := startPair(t)
	busy.Handle(testNode(1), []byte("no message"))
	for range 2 * inboxSize {
		busy.Handle(testNode(1), []byte{0xa0})
	}
	model, _ := busy.Shares(testOrg)
	is.Equal(model, 0.5)
	model, _ = busy.Shares("unknown")
	is.Equal(model, 1.0) // an organisation that is not configured has no cap
}
