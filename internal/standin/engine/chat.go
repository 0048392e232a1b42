package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/identify"
	"chervilloom/internal/standin/fault"
)

// refusal is an answer to a request that did not run.
type refusal struct {
	status  int
	message string
}

// refuse promises in the answer's header that nothing ran.
func refuse(w http.ResponseWriter, r *refusal) {
	w.Header().Set(engine.HeaderNotRun, "true")
	http.Error(w, r.message, r.status)
}

// serveChat serves POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	at := e.stages.Next(r)
	body, err := fault.ReadBody(r, at)
	if err != nil {
		return // the caller has left
	}
	e.nameLife(w.Header())
	if at == fault.Refuse {
		refuse(w, &refusal{http.StatusServiceUnavailable, "full"})
		return
	}
	var req engine.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		refuse(w, &refusal{http.StatusBadRequest, "the body is no chat request"})
		return
	}
	s, ref := e.admit(r, &req)
	if ref != nil {
		refuse(w, ref)
		return
	}
	if s == nil {
		return // the caller left while waiting; nothing ran
	}
	e.answer(w, r, s, &req, at)
}

// nameLife tells which life and generation answers.
func (e *Engine) nameLife(h http.Header) {
	s := e.State()
	h.Set(engine.HeaderBoot, string(s.Boot))
	h.Set(engine.HeaderGeneration, engine.GenerationTag(s.Group, s.Generation))
}

// admit takes a request in, waits for its slot and starts it. It returns a
// refusal when the request did not run, and neither when the caller left.
func (e *Engine) admit(r *http.Request, req *engine.ChatRequest) (*stream, *refusal) {
	replica, ref := e.place(r, req)
	if ref != nil {
		return nil, ref
	}
	id := r.Header.Get(engine.HeaderStream)
	if id == "" {
		id = uuid.NewString()
	}
	s := e.register(replica, id, req)
	if s == nil {
		return nil, &refusal{http.StatusConflict, "the stream id is taken"}
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // 0 when it is missing
	if err := e.slots.acquire(r.Context(), priority); err != nil {
		e.forget(s)
		if err == errQueueFull {
			return nil, &refusal{http.StatusServiceUnavailable, "the queue is full"}
		}
		return nil, nil
	}
	e.fill(s, req)
	if !replica.begin(r.Context()) || !e.start(s, replica, r.Header.Get("X-Request-Id")) {
		e.slots.release()
		e.forget(s)
		return nil, &refusal{http.StatusServiceUnavailable, "a member of the group is missing"}
	}
	return s, nil
}

// place finds the replica that the request is meant for.
func (e *Engine) place(r *http.Request, req *engine.ChatRequest) (*replica, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stateNow()
	want := r.Header.Get(engine.HeaderGeneration)
	switch {
	case s.Leaving:
		return nil, &refusal{http.StatusServiceUnavailable, "leaving"}
	case e.replica == nil || want != e.replica.tag:
		return nil, &refusal{http.StatusPreconditionFailed, "the engine is not in generation " + want}
	case s.Rank != 0:
		return nil, &refusal{http.StatusPreconditionFailed, "only rank 0 takes requests"}
	case !s.Loaded:
		return nil, &refusal{http.StatusServiceUnavailable, "not loaded"}
	case !carries(s, req.Model):
		return nil, &refusal{http.StatusNotFound, "the engine does not carry " + req.Model}
	default:
		return e.replica, nil
	}
}

// carries compares what is loaded with what a request names.
func carries(s fleet.EngineState, want string) bool {
	loaded := fleet.Group{Model: s.Model, Version: s.Version, Adapters: s.Adapters}
	return loaded.Carries(identify.ParseTarget(want), s.Version)
}

// answer sends the answer of a stream that runs.
func (e *Engine) answer(w http.ResponseWriter, r *http.Request, s *stream, req *engine.ChatRequest, at fault.Stage) {
	s.join()
	defer s.leave()
	w.Header().Set(engine.HeaderStream, s.id)
	if at == fault.AfterRun || at == fault.Fail {
		waitEnd(r.Context(), s)
		if at == fault.Fail {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		fault.Abort()
	}
	if !req.Stream {
		e.sendWhole(w, r, s, at)
		return
	}
	e.sendEvents(w, r, s, 0, e.cutOf(s, at))
}

// waitEnd returns when the stream has ended or the caller has left.
func waitEnd(ctx context.Context, s *stream) bool {
	select {
	case <-s.finished:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWhole sends an answer that is not streamed.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, s *stream, at fault.Stage) {
	if !waitEnd(r.Context(), s) {
		return
	}
	if p, _ := s.wait(r.Context(), len(s.tokens)); p.err != nil {
		fault.Abort()
	}
	finish := "stop"
	body, err := json.Marshal(engine.ChatAnswer{
		ID: s.id, Object: "chat.completion", Model: s.model,
		Choices: []engine.Choice{{
			Message:      &engine.Message{Role: "assistant", Content: strings.Join(s.tokens, "")},
			FinishReason: &finish,
		}},
		Usage: *s.usage(),
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	w.Header().Set("Content-Type", "application/json")
	fault.Answer(w, body, at)
}

func (s *stream) usage() *engine.Usage {
	return &engine.Usage{PromptTokens: s.prompt, CompletionTokens: len(s.tokens), CachedTokens: s.cached}
}
