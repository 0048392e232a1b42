package node

import (
	"context"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
)

// stage is a set of goroutines that are stopped together. The stages of a node
// are stopped one after the other, so that what a later stage needs is still
// there while an earlier one finishes.
type stage struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	failed chan<- error
}

// newStage returns an empty stage that reports the first failures to failed.
// It outlives the context that asks the node to stop.
func newStage(failed chan<- error) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	return &stage{ctx: ctx, cancel: cancel, failed: failed}
}

// start runs f until the stage is stopped. An end before that is a failure of
// the node: a duty that nobody does any more is noticed by nobody.
func (s *stage) start(name string, f func(context.Context) error) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		err := f(s.ctx)
		if s.ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errors.New("it ended by itself")
		}
		select {
		case s.failed <- merry.Errorf("node: %s: %w", name, err):
		default: // the node stops for an earlier failure already
		}
	}()
}

// stop ends the stage's goroutines and waits for them.
func (s *stage) stop() {
	s.cancel()
	s.wg.Wait()
}

// forever makes a duty without an error of its own fit for start.
func forever(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}
