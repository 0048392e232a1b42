package dispatch

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
	"chervilloom/internal/testkit"
	"chervilloom/internal/view"
)

// watched counts how often the snapshot is looked at.
type watched struct {
	*rig
	count atomic.Int64
}

func (w *watched) Snapshot() *view.Snapshot {
	w.count.Add(1)
	return w.rig.Snapshot()
}

func newWatchedRig(t *testing.T) (*rig, *watched) {
	looked := &watched{}
	r := newRig(t, func(o *Options) {
		looked.rig = o.View.(*rig)
		o.View = looked
	})
	return r, looked
}

// Guards against callers that are refused in between a probe that is answered late and the
// next one.
func TestRequestWaitsForADestinationThatWasThere(t *testing.T) {
	is := is.New(t)
	r, looked := newWatchedRig(t)
	r.addService()
	is.True(r.serve(context.Background(), r.lookup("a")).end.Whole)
	vms := r.Snapshot().VMs
	r.change(func(s *view.Snapshot) { s.VMs = nil })
	c := newCollector()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.d.Serve(context.Background(), r.receipt("b"), c)
	}()
	from := looked.count.Load()
	testkit.Eventually(t, "it looks again", func() bool { return looked.count.Load() > from+5 })
	r.change(func(s *view.Snapshot) { s.VMs = vms })
	<-done
	is.True(c.end.Whole)
}

// Guards against requests that are held where nothing has served them for long.
func TestRequestIsRefusedAtOnceWhereNothingServedLately(t *testing.T) {
	is := is.New(t)
	r, looked := newWatchedRig(t)
	before := looked.count.Load()
	c := r.serve(context.Background(), r.lookup("a"))
	is.Equal(c.end.Error.Kind, outcome.NoCapacity)
	is.True(looked.count.Load() < before+5) // not once for each poll
}
