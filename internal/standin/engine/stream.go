package engine

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	errStreamBroken    = errors.New("the replica broke")
	errStreamCancelled = errors.New("the stream was cancelled")
)

// stream is one answer as it is generated. It is safe for concurrent use.
type stream struct {
	id       string
	model    string
	tokens   []string // of the whole answer
	prompt   int      // tokens of the prompt
	cached   int      // of them, served from the cache
	ctx      context.Context
	cancel   context.CancelCauseFunc
	finished chan struct{} // closed when generation has ended, either way

	mu      sync.Mutex
	made    int
	ended   bool
	err     error         // why it ended before its last token
	changed chan struct{} // closed and replaced at each change
	readers int
	left    time.Time // when the last reader left
}

func newStream(ctx context.Context, id, model string, tokens []string) *stream {
	s := &stream{
		id: id, model: model, tokens: tokens,
		finished: make(chan struct{}), changed: make(chan struct{}), left: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// advance counts one more token as generated.
func (s *stream) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made++
	s.notify()
}

// end closes the stream; err is nil when all tokens were generated.
func (s *stream) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	close(s.finished)
	s.cancel(err)
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is how far a stream has come.
type progress struct {
	made  int
	ended bool
	err   error
}

// wait returns once more than n tokens are made or the stream has ended.
func (s *stream) wait(ctx context.Context, n int) (progress, error) {
	for {
		s.mu.Lock()
		p := progress{made: s.made, ended: s.ended, err: s.err}
		changed := s.changed
		s.mu.Unlock()
		if p.made > n || p.ended {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

func (s *stream) join() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.left = time.Now()
}

// orphaned reports whether nobody has read the stream for the given time.
func (s *stream) orphaned(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.left) > limit
}
