package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// fakeObjects is an in-memory object store that can be unavailable.
type fakeObjects struct {
	mu          sync.Mutex
	unavailable bool
	data        map[string][]byte
	puts        int
}

func (o *fakeObjects) PutObject(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return platform.ErrUnavailable
	}
	o.data[name] = data
	o.puts++
	return nil
}

func (o *fakeObjects) GetObject(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return nil, platform.ErrUnavailable
	}
	data, ok := o.data[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

const trackStart = clock.Instant(time.Hour)

// testSnapshot returns a snapshot of two zones with eight VMs each, and one group
// in the first zone for each of the given loads.
func testSnapshot(at clock.Instant, loads ...int) *view.Snapshot {
	s := &view.Snapshot{
		At: at, Zone: "z1", Revision: 1,
		Config: &config.Document{
			Objective: sagarmatha,
			Groups:    []config.GroupSpec{{Name: "s", VMs: 2, Min: 1, Max: 8}},
		},
		Nodes: []view.Node{{Node: fleet.Node{VM: "n2"}, Zone: "z2", State: view.NodeAlive}},
	}
	for i := range 16 {
		zone := fleet.AvailabilityZone(fmt.Sprintf("z%d", i/8+1))
		s.VMs = append(s.VMs, view.VM{Listed: true, Record: fleet.Record{
			VM: fleet.VM(fmt.Sprint("e", i)), Kind: fleet.KindEngine, Zone: zone, Domain: "d", Accelerators: 2,
		}})
	}
	for i, n := range loads {
		s.Groups = append(s.Groups, view.Group{
			Group: fleet.Group{ID: fleet.GroupID(fmt.Sprint("g", i)), Spec: "s", Zone: "z1", Phase: fleet.PhaseServing},
			Whole: true, Load: fleet.Load{Running: n, Slots: 8}, LoadAt: at,
		})
	}
	return s
}

func newTestTracker(now clock.Clock, o platform.Objects) *Tracker {
	return NewTracker(Options{
		Zone: "z1", Clock: now, WallTime: func() time.Time { return noon }, Objects: o,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Explain: explain.NewStore("n1", 8, 8),
		Registerer: prometheus.NewRegistry(),
	})
}

func TestTrackerTargets(t *testing.T) {
	partitioned := testSnapshot(trackStart, 8, 8)
	partitioned.Nodes[0].State = view.NodeDead
	noReports := testSnapshot(trackStart, 0, 0)
	noReports.Groups[0].LoadAt, noReports.Groups[1].LoadAt = 0, trackStart.Add(-time.Hour)
	noConfig := testSnapshot(trackStart)
	noConfig.Config = nil
	idle := testSnapshot(trackStart, 0, 0, 0)
	cases := []struct {
		name     string
		snap     *view.Snapshot
		low, top int
	}{
		{"full groups raise the total", testSnapshot(trackStart, 8, 8), 2, 3},
		{"a partitioned zone covers the whole demand", partitioned, 4, 4},
		{"a missing load report does not mean idle", noReports, 2, 3},
		{"idle groups are removed one at a time", idle, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := newTestTracker(clock.NewManual(trackStart), nil).Targets(c.snap)
			is := is.New(t)
			is.Equal(len(got), 1)
			is.True(got["s"] >= c.low && got["s"] <= c.top)
		})
	}
	t.Run("no targets without a configuration", func(t *testing.T) {
		is.New(t).Equal(len(newTestTracker(clock.NewManual(trackStart), nil).Targets(noConfig)), 0)
	})
}

// The holders of two zones decide independently on the same facts, so their targets
// must add up: a replica that each leaves to the other is missing, and one that
// both form is idle.
func TestTargetsOfZonesAddUp(t *testing.T) {
	is := is.New(t)
	for _, loads := range [][]int{{}, {3}, {8, 8}, {8, 8, 8, 8}} {
		sum := 0
		for _, zone := range []fleet.AvailabilityZone{"z1", "z2"} {
			s := testSnapshot(trackStart, loads...)
			if s.Zone = zone; zone == "z2" {
				s.Nodes[0].Zone = "z1"
			}
			tr := newTestTracker(clock.NewManual(trackStart), nil)
			tr.opt.Zone = zone
			sum += tr.Targets(s)["s"]
		}
		in := InputFromSnapshot(testSnapshot(trackStart, loads...), trackStart)
		in.WallTime = noon
		want := 0
		for _, tg := range Decide(in) {
			want += tg.Replicas
		}
		is.Equal(sum, want)
	}
}

func TestReadCountsUsableVMs(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(trackStart)
	s.VMs[0].Leaving = true
	s.VMs[1].Probe.FailingSince = trackStart.Add(-time.Minute)
	s.VMs[2].Probe.FailingSince = trackStart.Add(-time.Second)
	s.VMs[3].Record.Domain = "other"
	s.VMs[8].Listed = false
	in := InputFromSnapshot(s, trackStart)
	is.Equal(len(in.Zones), 2)
	is.Equal(in.Zones[0].VMsPerDomain, []int{5, 1})
	is.Equal(in.Zones[1].VMsPerDomain, []int{7})
	is.Equal(in.Zones[0].AcceleratorsPerVM, 2)
}

// A node acquires the duty while the object store is unavailable. Without the
// history, an idle hour would make it drain replicas that are required later. It
// must keep the existing replicas until the history is read, and must not overwrite
// the history with an empty one.
func TestNoScaleDownBeforeHistoryIsRead(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(trackStart)
	store := &fakeObjects{unavailable: true, data: map[string][]byte{}}
	learned, err := newTrace(1).trainedHistory().Marshal()
	is.NoErr(err)
	store.data["capacity/z1"] = learned
	tr := newTestTracker(now, store)
	is.Equal(tr.Targets(testSnapshot(now.Now(), 0, 0, 0))["s"], 3)
	store.unavailable = false
	tr.save(t.Context())
	is.Equal(store.puts, 0)
	tr.load(t.Context())
	now.Advance(decideInterval)
	is.True(tr.loaded)
	is.True(tr.Targets(testSnapshot(now.Now(), 0, 0, 0))["s"] >= 2)
	now.Advance(observeInterval)
	tr.Targets(testSnapshot(now.Now(), 1, 1, 1))
	tr.save(t.Context())
	is.Equal(store.puts, 1)
}

// Another node held the duty for an hour and saved its history. The node that
// reacquires the duty must load that history and must not save its own older one.
func TestReacquiredDutyReloadsHistory(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(trackStart)
	store := &fakeObjects{data: map[string][]byte{}}
	tr := newTestTracker(now, store)
	tr.Targets(testSnapshot(now.Now(), 1))
	tr.load(t.Context())
	now.Advance(time.Hour)
	tr.save(t.Context())
	is.Equal(len(store.data), 0)
	<-tr.loadRequests
	tr.Targets(testSnapshot(now.Now(), 1))
	is.Equal(len(tr.loadRequests), 1)
	is.True(!tr.loaded)
}

func TestRunLoadsHistoryAndStops(t *testing.T) {
	is := is.New(t)
	store := &fakeObjects{data: map[string][]byte{"capacity/z1": []byte("not a history")}}
	tr := newTestTracker(clock.NewManual(trackStart), store)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(ctx) }()
	tr.Targets(testSnapshot(trackStart, 1))
	waitFor(t, func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return tr.loaded
	})
	cancel()
	is.NoErr(<-ended)
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatal(errors.New("timeout waiting for the condition"))
		case <-time.After(time.Millisecond):
		}
	}
}
