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

// refusal is the response to a request that did not run.
type refusal struct {
	status  int
	message string
}

// writeRefusal sends the refusal with the header that declares the request not run.
func writeRefusal(w http.ResponseWriter, r *refusal) {
	w.Header().Set(engine.HeaderNotRun, "true")
	http.Error(w, r.message, r.status)
}

// serveChat serves POST /v1/chat/completions.
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	at := e.stages.Next(r)
	body, err := fault.ReadBody(r, at)
	if err != nil {
		return // the caller disconnected
	}
	e.setIdentityHeaders(w.Header())
	if at == fault.Refuse {
		writeRefusal(w, &refusal{http.StatusServiceUnavailable, "full"})
		return
	}
	var req engine.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil || len(req.Messages) == 0 {
		writeRefusal(w, &refusal{http.StatusBadRequest, "the body is no chat request"})
		return
	}
	s, ref := e.admit(r, &req)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	if s == nil {
		return // the caller disconnected while it waited for a slot; nothing ran
	}
	e.sendAnswer(w, r, s, &req, at)
}

// setIdentityHeaders sets the response headers with the engine's boot id and generation.
func (e *Engine) setIdentityHeaders(h http.Header) {
	s := e.State()
	h.Set(engine.HeaderBoot, string(s.Boot))
	h.Set(engine.HeaderGeneration, engine.GenerationTag(s.Group, s.Generation))
}

// admit checks a request, waits for a slot and starts its stream. It returns a
// refusal if the request did not run, and two nils if the caller disconnected while
// the request waited.
func (e *Engine) admit(r *http.Request, req *engine.ChatRequest) (*stream, *refusal) {
	replica, ref := e.findReplica(r, req)
	if ref != nil {
		return nil, ref
	}
	id := r.Header.Get(engine.HeaderStream)
	if id == "" {
		id = uuid.NewString()
	}
	s := e.addStream(replica, id, req)
	if s == nil {
		return nil, &refusal{http.StatusConflict, "the stream id is taken"}
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // 0 if it is missing
	if err := e.slots.acquire(r.Context(), priority); err != nil {
		e.dropStream(s)
		if err == errQueueFull {
			return nil, &refusal{http.StatusServiceUnavailable, "the queue is full"}
		}
		return nil, nil
	}
	e.usePrefixCache(s, req)
	if !replica.checkReady(r.Context()) || !e.startStream(s, replica, r.Header.Get("X-Request-Id")) {
		e.slots.release()
		e.dropStream(s)
		return nil, &refusal{http.StatusServiceUnavailable, "a member of the group is missing"}
	}
	return s, nil
}

// findReplica returns the engine's replica if it can serve the request: the generation
// matches, the engine has rank 0, the model is loaded and the engine is not leaving.
func (e *Engine) findReplica(r *http.Request, req *engine.ChatRequest) (*replica, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.currentState()
	want := r.Header.Get(engine.HeaderGeneration)
	switch {
	case s.Leaving:
		return nil, &refusal{http.StatusServiceUnavailable, "leaving"}
	case e.replica == nil || want != e.replica.generationTag:
		return nil, &refusal{http.StatusPreconditionFailed, "the engine is not in generation " + want}
	case s.Rank != 0:
		return nil, &refusal{http.StatusPreconditionFailed, "only rank 0 takes requests"}
	case !s.Loaded:
		return nil, &refusal{http.StatusServiceUnavailable, "not loaded"}
	case !isModelLoaded(s, req.Model):
		return nil, &refusal{http.StatusNotFound, "the engine does not carry " + req.Model}
	default:
		return e.replica, nil
	}
}

// isModelLoaded reports whether the loaded model, version and adapters serve the model
// name of a request.
func isModelLoaded(s fleet.EngineState, want string) bool {
	loaded := fleet.Group{Model: s.Model, Version: s.Version, Adapters: s.Adapters}
	return loaded.Carries(identify.ParseTarget(want), s.Version)
}

// sendAnswer sends the response of a started stream, with the fault at the given stage.
func (e *Engine) sendAnswer(w http.ResponseWriter, r *http.Request, s *stream, req *engine.ChatRequest, at fault.Stage) {
	s.addReader()
	defer s.removeReader()
	w.Header().Set(engine.HeaderStream, s.id)
	if at == fault.AfterRun || at == fault.Fail {
		waitFinished(r.Context(), s)
		if at == fault.Fail {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		fault.Abort()
	}
	if !req.Stream {
		e.sendUnstreamed(w, r, s, at)
		return
	}
	e.sendEvents(w, r, s, 0, e.nextCut(s, at))
}

// waitFinished waits until the stream has ended or ctx is done, and reports whether the
// stream has ended.
func waitFinished(ctx context.Context, s *stream) bool {
	select {
	case <-s.finished:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendUnstreamed waits for the end of the stream and sends the answer in one response.
func (e *Engine) sendUnstreamed(w http.ResponseWriter, r *http.Request, s *stream, at fault.Stage) {
	if !waitFinished(r.Context(), s) {
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
	fault.WriteAnswer(w, body, at)
}

func (s *stream) usage() *engine.Usage {
	return &engine.Usage{PromptTokens: s.promptTokens, CompletionTokens: len(s.tokens), CachedTokens: s.cachedTokens}
}
