package engine

import (
	"context"
	"errors"
	"sync"
	"time"
)

var (
	errReplicaEnded    = errors.New("the replica lost a member or left its group")
	errStreamCancelled = errors.New("the stream was cancelled")
)

// stream is the answer to one request during its generation, and for some time after.
// It is safe for concurrent use.
type stream struct {
	id           string
	model        string
	tokens       []string // of the complete answer
	promptTokens int      // number of prompt tokens
	cachedTokens int      // number of prompt tokens found in the prefix cache
	ctx          context.Context
	cancel       context.CancelCauseFunc
	finished     chan struct{} // closed when generation has completed or failed

	mu             sync.Mutex
	generated      int // tokens generated so far
	ended          bool
	err            error         // set if it ended before its last token
	changed        chan struct{} // closed and replaced at each change
	readers        int           // connections that read the stream
	lastReaderLeft time.Time     // when the last reader disconnected; at first the creation time
}

func newStream(ctx context.Context, id, model string, tokens []string) *stream {
	s := &stream{
		id: id, model: model, tokens: tokens,
		finished: make(chan struct{}), changed: make(chan struct{}), lastReaderLeft: time.Now(),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// advance counts one generated token.
func (s *stream) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated++
	s.notify()
}

// end ends the stream; err is nil if all tokens were generated. Later calls have no
// effect.
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

// notify wakes the readers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a snapshot of a stream's generation.
type progress struct {
	generated int
	ended     bool
	err       error
}

// wait returns the progress once more than n tokens are generated or the stream has
// ended, or the error of ctx if ctx is done first.
func (s *stream) wait(ctx context.Context, n int) (progress, error) {
	for {
		s.mu.Lock()
		p := progress{generated: s.generated, ended: s.ended, err: s.err}
		changed := s.changed
		s.mu.Unlock()
		if p.generated > n || p.ended {
			return p, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *stream) removeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.lastReaderLeft = time.Now()
}

// isOrphaned reports whether the stream has had no reader for longer than limit.
func (s *stream) isOrphaned(limit time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.lastReaderLeft) > limit
}
