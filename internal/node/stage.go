package node

import (
	"context"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
)

// stage is a set of goroutines that are stopped together. A node stops its
// stages one after the other, so that a stage still has the services it depends
// on while it finishes.
type stage struct {
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	failures chan<- error
}

// newStage returns an empty stage that reports its first failure to failures.
// Its context is independent of the one that asks the node to stop.
func newStage(failures chan<- error) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	return &stage{ctx: ctx, cancel: cancel, failures: failures}
}

// start runs f until the stage is stopped. If f returns earlier, the node fails:
// a background task that ended would otherwise go unnoticed.
func (s *stage) start(name string, f func(context.Context) error) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		err := f(s.ctx)
		if s.ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errors.New("stopped unexpectedly without an error")
		}
		select {
		case s.failures <- merry.Errorf("node: %s: %w", name, err):
		default: // the node is already stopping for an earlier failure
		}
	}()
}

// stop ends the stage's goroutines and waits for them.
func (s *stage) stop() {
	s.cancel()
	s.wg.Wait()
}

// withoutError adapts a function without an error result for start.
func withoutError(f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		f(ctx)
		return nil
	}
}
