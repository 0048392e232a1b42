package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"chervilloom/internal/engine"
	"chervilloom/internal/standin/fault"
)

// cut is the point at which a fault cuts a streamed answer.
type cut struct {
	afterTokens int  // tokens sent on this connection; -1 for no cut
	clean       bool // end the response regularly instead of by a reset
}

// nextCut returns the cut for s, from the stage's fault or from CutStreams, whose
// count it decrements.
func (e *Engine) nextCut(s *stream, at fault.Stage) cut {
	switch at {
	case fault.HalfAnswer:
		return cut{afterTokens: len(s.tokens) / 2}
	case fault.HalfAnswerClean:
		return cut{afterTokens: len(s.tokens) / 2, clean: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CutStreams == 0 {
		return cut{afterTokens: -1}
	}
	if e.faults.CutStreams > 0 {
		e.faults.CutStreams--
	}
	return cut{afterTokens: e.faults.CutAfter, clean: e.faults.CleanEOF}
}

// serveResume serves GET /v1/streams/{id}?from=N: the events from token N on.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	if _, err := fault.ReadBody(r, e.stages.Next(r)); err != nil {
		return
	}
	e.setIdentityHeaders(w.Header())
	want := r.Header.Get(engine.HeaderGeneration)
	if want != "" && want != w.Header().Get(engine.HeaderGeneration) {
		http.Error(w, "the engine is not in generation "+want, http.StatusPreconditionFailed)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	s := e.findStream(r.PathValue("id"))
	switch {
	case err != nil || from < 0:
		http.Error(w, "from must be the number of a token", http.StatusBadRequest)
		return
	case s == nil || from > len(s.tokens):
		http.Error(w, "no such stream or token", http.StatusNotFound)
		return
	}
	s.addReader()
	defer s.removeReader()
	w.Header().Set(engine.HeaderStream, s.id)
	e.sendEvents(w, r, s, from, e.nextCut(s, fault.None))
}

// serveCancel serves DELETE /v1/streams/{id}.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(r.PathValue("id"))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel(errStreamCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// sendEvents sends the stream's events from token number from, as they are
// generated, until the stream ends, the cut is reached or the caller disconnects.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, from int, c cut) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, controller: http.NewResponseController(w), s: s, cut: c}
	out.flush()
	for n := from; ; {
		p, err := s.wait(r.Context(), n)
		if err != nil {
			return // the caller disconnected
		}
		if _, err := e.gate.Wait(r.Context()); err != nil {
			return
		}
		for ; n < p.generated; n++ {
			if out.isCut() {
				out.endEarly(c.clean)
				return
			}
			out.writeToken(n)
		}
		if !p.ended {
			out.flush()
			continue
		}
		if p.err != nil {
			out.endEarly(e.Faults().CleanEOF)
			return
		}
		if out.isCut() {
			out.endEarly(c.clean)
			return
		}
		out.finish()
		return
	}
}

// eventWriter writes a stream's events to one connection.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	s          *stream
	cut        cut
	sent       int // tokens on this connection
}

func (o *eventWriter) isCut() bool { return o.cut.afterTokens >= 0 && o.sent >= o.cut.afterTokens }

func (o *eventWriter) writeToken(n int) {
	o.writeEvent(n, engine.Choice{Delta: &engine.Message{Role: "assistant", Content: o.s.tokens[n]}}, nil)
	o.sent++
}

// finish sends the finish reason with the usage, and the end marker.
func (o *eventWriter) finish() {
	stop := "stop"
	o.writeEvent(len(o.s.tokens), engine.Choice{Delta: &engine.Message{}, FinishReason: &stop}, o.s.usage())
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
	o.flush()
}

// writeEvent writes one event. Write errors are ignored: the request's context is
// cancelled when the caller disconnects.
func (o *eventWriter) writeEvent(n int, c engine.Choice, u *engine.Usage) {
	data, err := json.Marshal(engine.ChatChunk{
		ID: o.s.id, Object: "chat.completion.chunk", Model: o.s.model,
		Choices: []engine.Choice{c}, Usage: u,
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	_, _ = fmt.Fprintf(o.w, "id: %s:%d\ndata: %s\n\n", o.s.id, n, data)
}

func (o *eventWriter) flush() { _ = o.controller.Flush() }

// endEarly ends the answer early: by a reset, or, if clean, by a regular end that
// looks complete to a reader that does not check for the end marker.
func (o *eventWriter) endEarly(clean bool) {
	o.flush()
	if !clean {
		fault.Abort()
	}
}
