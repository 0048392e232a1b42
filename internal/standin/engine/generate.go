package engine

import (
	"context"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/identify"
)

// bytesPerToken is the usual length of a token of English text.
const bytesPerToken = 4

// start counts the execution and begins to generate. The caller holds a slot,
// which is given back when the stream ends. It reports false, and gives nothing
// back, when the replica broke before the request began.
func (e *Engine) start(s *stream, r *replica, requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	e.runs.Add(requestID)
	if r.enter() {
		e.work.Go(r.watch)
	}
	e.work.Go(func() {
		err := e.generate(s, r)
		r.exit()
		s.end(err)
		e.slots.release()
		e.retire(s)
	})
	return true
}

// generate makes the tokens of s one by one. It returns why it stopped early.
func (e *Engine) generate(s *stream, r *replica) error {
	uncached := float64(s.prompt - s.cached)
	next := time.Now().Add(seconds(uncached / e.opts.PrefillTokensPerSecond))
	for range s.tokens {
		next = next.Add(e.tokenTime())
		if err := sleepUntil(s.ctx, next); err != nil {
			return context.Cause(s.ctx)
		}
		paused, err := e.pause(s.ctx, r)
		if err != nil {
			return context.Cause(s.ctx)
		}
		if paused {
			next = time.Now()
		}
		if s.orphaned(e.opts.OrphanAfter.Or(DefaultOrphanAfter)) {
			return errStreamCancelled
		}
		s.advance()
	}
	return nil
}

// pause waits while the engine or a member of its replica is stalled.
func (e *Engine) pause(ctx context.Context, r *replica) (bool, error) {
	own, err := e.gate.Wait(ctx)
	if err != nil {
		return own, err
	}
	peer, err := r.gate.Wait(ctx)
	return own || peer, err
}

func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(straggleOf(e.faults) / e.opts.TokensPerSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func sleepUntil(ctx context.Context, t time.Time) error {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// register makes the stream of a request. It returns nil when its id is taken.
func (e *Engine) register(r *replica, id string, req *engine.ChatRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purge()
	if _, taken := e.streams[id]; taken {
		return nil
	}
	s := newStream(r.ctx, id, req.Model, tokensOf(req))
	for _, f := range engine.PromptFields(req.Messages) {
		s.prompt += (len(f) + bytesPerToken - 1) / bytesPerToken
	}
	e.streams[id] = s
	return s
}

// fill uses the prefix cache for the prompt of s.
func (e *Engine) fill(s *stream, req *engine.ChatRequest) {
	t := identify.ParseTarget(req.Model)
	prefixes := engine.Prefixes(t.Model, t.Adapter, engine.PromptFields(req.Messages))
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.use(e.clock.Now(), prefixes)
	s.cached = min(engine.PrefixBytes(hits)/bytesPerToken, s.prompt)
}

// forget takes a stream that never began out of memory.
func (e *Engine) forget(s *stream) {
	s.end(errStreamCancelled)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// retire notes the end of a stream, from which its time in memory counts.
func (e *Engine) retire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		e.ended = append(e.ended, endedStream{id: s.id, at: e.clock.Now()})
	}
}

// purge drops the ended streams that are old or too many. e.mu is held.
func (e *Engine) purge() {
	kept := e.opts.StreamKept.Or(DefaultStreamKept)
	now := e.clock.Now()
	for len(e.ended) > 0 && (len(e.ended) > streamsKept || now.Sub(e.ended[0].at) > kept) {
		delete(e.streams, e.ended[0].id)
		e.ended = e.ended[1:]
	}
}

func (e *Engine) streamOf(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purge()
	return e.streams[id]
}
