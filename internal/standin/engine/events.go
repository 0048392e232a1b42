package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"chervilloom/internal/engine"
	"chervilloom/internal/standin/fault"
)

// cut is where a fault cuts a streamed answer.
type cut struct {
	after int // tokens sent on this connection; -1: it is not cut
	clean bool
}

// cutOf uses up one hit of the faults that cut streams.
func (e *Engine) cutOf(s *stream, at fault.Stage) cut {
	switch at {
	case fault.HalfAnswer:
		return cut{after: len(s.tokens) / 2}
	case fault.HalfAnswerClean:
		return cut{after: len(s.tokens) / 2, clean: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams == 0 {
		return cut{after: -1}
	}
	if e.faults.CutStreams > 0 {
		e.faults.CutStreams--
	}
	return cut{after: e.faults.CutAfter, clean: e.faults.CleanEOF}
}

// serveResume serves GET /v1/streams/{id}: the events from token N on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	if _, err := fault.ReadBody(r, e.stages.Next(r)); err != nil {
		return
	}
	e.nameLife(w.Header())
	want := r.Header.Get(engine.HeaderGeneration)
	if want != "" && want != w.Header().Get(engine.HeaderGeneration) {
		http.Error(w, "the engine is not in generation "+want, http.StatusPreconditionFailed)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	s := e.streamOf(r.PathValue("id"))
	switch {
	case err != nil || from < 0:
		http.Error(w, "from must be the number of a token", http.StatusBadRequest)
		return
	case s == nil || from > len(s.tokens):
		http.Error(w, "no such stream or token", http.StatusNotFound)
		return
	}
	s.join()
	defer s.leave()
	w.Header().Set(engine.HeaderStream, s.id)
	e.sendEvents(w, r, s, from, e.cutOf(s, fault.None))
}

// serveCancel serves DELETE /v1/streams/{id}.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.streamOf(r.PathValue("id"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel(errStreamCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// sendEvents sends the events of a stream from token from on.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, from int, c cut) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), s: s, cut: c}
	out.send()
	for n := from; ; {
		p, err := s.wait(r.Context(), n)
		if err != nil {
			return // the caller has left
		}
		if _, err := e.gate.Wait(r.Context()); err != nil {
			return
		}
		for ; n < p.made; n++ {
			if out.isCut() {
				out.breakOff(c.clean)
				return
			}
			out.token(n)
		}
		if !p.ended {
			out.send()
			continue
		}
		if p.err != nil {
			out.breakOff(e.Faults().CleanEOF)
			return
		}
		if out.isCut() {
			out.breakOff(c.clean)
			return
		}
		out.finish()
		return
	}
}

// eventWriter writes one connection's events.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	s     *stream
	cut   cut
	sent  int // tokens on this connection
}

func (o *eventWriter) isCut() bool { return o.cut.after >= 0 && o.sent >= o.cut.after }

func (o *eventWriter) token(n int) {
	o.event(n, engine.Choice{Delta: &engine.Message{Role: "assistant", Content: o.s.tokens[n]}}, nil)
	o.sent++
}

// finish sends the end marker.
func (o *eventWriter) finish() {
	stop := "stop"
	o.event(len(o.s.tokens), engine.Choice{Delta: &engine.Message{}, FinishReason: &stop}, o.s.usage())
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.send()
}

// event writes one event; a caller that has left is noticed by its context.
func (o *eventWriter) event(n int, c engine.Choice, u *engine.Usage) {
	data, err := json.Marshal(engine.ChatChunk{
		ID: o.s.id, Object: "chat.completion.chunk", Model: o.s.model,
		Choices: []engine.Choice{c}, Usage: u,
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	_, _ = fmt.Fprintf(o.w, "id: %s:%d\ndata: %s\n\n", o.s.id, n, data)
}

func (o *eventWriter) send() { _ = o.flush.Flush() }

// breakOff ends the answer early: by a reset, or cleanly so that it looks whole
// to a reader that does not know the end marker.
func (o *eventWriter) breakOff(clean bool) {
	o.send()
	if !clean {
		fault.Abort()
	}
}
