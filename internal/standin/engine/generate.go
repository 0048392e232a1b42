package engine

import (
	"context"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/identify"
)

// bytesPerToken is the typical length of a token of English text.
const bytesPerToken = 4

// startStream counts the execution and starts the generation. The caller holds a slot,
// which is released when the stream ends. startStream returns false, and the caller keeps
// the slot, if the replica ended before the generation started.
func (e *Engine) startStream(s *stream, r *replica, requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	e.executions.Add(requestID)
	if r.addStream() {
		e.work.Go(r.watchPeers)
	}
	e.work.Go(func() {
		err := e.generate(s, r)
		r.removeStream()
		s.end(err)
		e.slots.release()
		e.recordEnd(s)
	})
	return true
}

// generate produces the tokens of s at the configured speed. It returns nil after
// the last token, or the reason for which it stopped early.
func (e *Engine) generate(s *stream, r *replica) error {
	uncached := float64(s.promptTokens - s.cachedTokens)
	next := time.Now().Add(seconds(uncached / e.opts.PrefillTokensPerSecond))
	for range s.tokens {
		next = next.Add(e.tokenInterval())
		if err := sleepUntil(s.ctx, next); err != nil {
			return context.Cause(s.ctx)
		}
		paused, err := e.waitWhileStalled(s.ctx, r)
		if err != nil {
			return context.Cause(s.ctx)
		}
		if paused {
			next = time.Now()
		}
		if s.isOrphaned(e.opts.OrphanTimeout.Or(DefaultOrphanTimeout)) {
			return errStreamCancelled
		}
		s.advance()
	}
	return nil
}

// waitWhileStalled waits while the engine or a member of its replica is stalled, and
// reports whether it had to wait.
func (e *Engine) waitWhileStalled(ctx context.Context, r *replica) (bool, error) {
	own, err := e.gate.Wait(ctx)
	if err != nil {
		return own, err
	}
	peer, err := r.gate.Wait(ctx)
	return own || peer, err
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(straggleFactor(e.faults) / e.opts.TokensPerSecond)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil waits until t, or returns the error of ctx if ctx is done first.
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

// addStream creates the stream of a request. It returns nil if the id is in use.
func (e *Engine) addStream(r *replica, id string, req *engine.ChatRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purgeStreams()
	if _, taken := e.streams[id]; taken {
		return nil
	}
	s := newStream(r.ctx, id, req.Model, answerTokens(req))
	for _, f := range engine.PromptFields(req.Messages) {
		s.promptTokens += (len(f) + bytesPerToken - 1) / bytesPerToken
	}
	e.streams[id] = s
	return s
}

// usePrefixCache looks the prompt up in the prefix cache, adds it and sets s.cachedTokens.
func (e *Engine) usePrefixCache(s *stream, req *engine.ChatRequest) {
	t := identify.ParseTarget(req.Model)
	prefixes := engine.Prefixes(t.Model, t.Adapter, engine.PromptFields(req.Messages))
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.use(e.clock.Now(), prefixes)
	s.cachedTokens = min(engine.PrefixBytes(hits)/bytesPerToken, s.promptTokens)
}

// dropStream removes a stream whose generation never started.
func (e *Engine) dropStream(s *stream) {
	s.end(errStreamCancelled)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
}

// recordEnd records the end of a stream, from which Options.StreamRetention counts.
func (e *Engine) recordEnd(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == s {
		e.ended = append(e.ended, endedStream{id: s.id, at: e.clock.Now()})
	}
}

// purgeStreams removes ended streams that are older than Options.StreamRetention, and the
// oldest ones beyond maxEndedStreams. The caller holds e.mu.
func (e *Engine) purgeStreams() {
	retention := e.opts.StreamRetention.Or(DefaultStreamRetention)
	now := e.clock.Now()
	for len(e.ended) > 0 && (len(e.ended) > maxEndedStreams || now.Sub(e.ended[0].at) > retention) {
		delete(e.streams, e.ended[0].id)
		e.ended = e.ended[1:]
	}
}

func (e *Engine) findStream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purgeStreams()
	return e.streams[id]
}
