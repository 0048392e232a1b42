package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/pressure"
)

var pressureNames = pressure.Names{Limit: engine.HeaderRateLimit, RetryAfter: engine.HeaderRetryAfter, Leaving: engine.HeaderLeaving, NotRun: engine.HeaderNotRun, Promise: "true"}

// pressureBounds are short, so that tests don't wait.
var pressureBounds = pressure.Bounds{Stable: time.Second, Drain: time.Second}

// ServeHTTP serves the protocol of package engine, and for tests:
//
//	POST /faults      Faults; "restart": true begins a new life. GET shows them
//	GET  /executions  how often each X-Request-Id ran
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.gate.Serve(w, r, e.mux) }

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.Pressure.Serve(w, r, pressureNames, pressureBounds, e.serveChat)
	})
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /leave", e.serveLeave)
	mux.HandleFunc("GET "+fault.PathFaults, e.serveFaults)
	mux.HandleFunc("POST "+fault.PathFaults, e.serveSetFaults)
	mux.Handle("GET "+fault.PathExecutions, e.runs)
	return mux
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	fault.Reply(w, http.StatusOK, e.State())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load.at(e.clock.Now())
	e.mu.Unlock()
	fault.Reply(w, http.StatusOK, l)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	res, v := e.take(o)
	status := map[verdict]int{
		orderTaken: http.StatusOK, orderStale: http.StatusConflict,
		orderOtherLife: http.StatusGone, orderMalformed: http.StatusBadRequest,
	}[v]
	fault.Reply(w, status, res)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.after(after, e.clock.Now(), lagOr(e.opts.CacheEventLag, DefaultCacheEventLag))
	e.mu.Unlock()
	fault.Reply(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var m engine.KVMove
	if !e.readMove(w, r, &m) {
		return
	}
	e.mu.Lock()
	meant := e.meant(&m)
	held := e.cache.held(m.Prefixes)
	e.mu.Unlock()
	if !meant {
		http.Error(w, "in another generation", http.StatusPreconditionFailed)
		return
	}
	data, err := json.Marshal(held)
	if err == nil {
		err = e.opts.Objects.PutObject(r.Context(), m.Object, data)
	}
	done(w, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var m engine.KVMove
	if !e.readMove(w, r, &m) {
		return
	}
	data, err := e.opts.Objects.GetObject(r.Context(), m.Object)
	var prefixes []uint64
	if err == nil {
		err = json.Unmarshal(data, &prefixes)
	}
	e.mu.Lock()
	meant := e.meant(&m)
	if meant {
		for _, p := range prefixes {
			e.cache.add(e.clock.Now(), p)
		}
	}
	e.mu.Unlock()
	if !meant {
		http.Error(w, "in another generation", http.StatusPreconditionFailed)
		return
	}
	done(w, err)
}

// meant reports whether the move is for the place that the engine is in. e.mu is
// held.
func (e *Engine) meant(m *engine.KVMove) bool {
	return m.Generation == "" || m.Generation == engine.GenerationTag(e.state.Group, e.state.Generation)
}

func (e *Engine) readMove(w http.ResponseWriter, r *http.Request, m *engine.KVMove) bool {
	if e.opts.Objects == nil {
		http.Error(w, "the engine has no object store", http.StatusNotImplemented)
		return false
	}
	return fault.ReadJSON(w, r, m)
}

// done answers a KV move; the object store is the only thing that can fail it.
func done(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLeave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, _ *http.Request) {
	fault.Reply(w, http.StatusOK, e.Faults())
}

// faultOrder is the body of POST /faults; fields left out stay as they are.
type faultOrder struct {
	Faults
	Restart bool `json:"restart"`
}

func (e *Engine) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	o := faultOrder{Faults: e.Faults()}
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	if o.Restart {
		e.Restart()
	}
	e.SetFaults(o.Faults)
	fault.Reply(w, http.StatusOK, o.Faults)
}
