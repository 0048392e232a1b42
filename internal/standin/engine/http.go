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

var pressureNames = pressure.HeaderNames{Limit: engine.HeaderRateLimit, RetryAfter: engine.HeaderRetryAfter, Leaving: engine.HeaderLeaving, NotRun: engine.HeaderNotRun, NotRunValue: "true"}

// gracePeriods are short to keep tests fast.
var gracePeriods = pressure.GracePeriods{Limit: time.Second, Leaving: time.Second}

// ServeHTTP serves the protocol of package engine and, for tests:
//
//	POST /faults      sets Faults; "restart": true restarts the engine
//	GET  /faults      returns Faults
//	GET  /executions  returns how often each X-Request-Id ran
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.gate.Serve(w, r, e.mux) }

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.Pressure.Serve(w, r, pressureNames, gracePeriods, e.serveChat)
	})
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /leave", e.serveLeave)
	mux.HandleFunc("GET "+fault.PathFaults, e.serveFaults)
	mux.HandleFunc("POST "+fault.PathFaults, e.serveSetFaults)
	mux.Handle("GET "+fault.PathExecutions, e.executions)
	return mux
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	fault.ReplyJSON(w, http.StatusOK, e.State())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load.reportAt(e.clock.Now())
	e.mu.Unlock()
	fault.ReplyJSON(w, http.StatusOK, l)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	res, v := e.executeOrder(o)
	status := map[orderStatus]int{
		orderAccepted: http.StatusOK, orderStaleFence: http.StatusConflict,
		orderOtherBoot: http.StatusGone, orderMalformed: http.StatusBadRequest,
	}[v]
	fault.ReplyJSON(w, status, res)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.clock.Now(), delayOrDefault(e.opts.CacheEventLag, DefaultCacheEventLag))
	e.mu.Unlock()
	fault.ReplyJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var m engine.KVMove
	if !e.readTransfer(w, r, &m) {
		return
	}
	e.mu.Lock()
	matches := e.matchesGeneration(&m)
	cached := e.cache.filterCached(m.Prefixes)
	e.mu.Unlock()
	if !matches {
		http.Error(w, "in another generation", http.StatusPreconditionFailed)
		return
	}
	data, err := json.Marshal(cached)
	if err == nil {
		err = e.opts.Objects.PutObject(r.Context(), m.Object, data)
	}
	replyTransfer(w, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var m engine.KVMove
	if !e.readTransfer(w, r, &m) {
		return
	}
	data, err := e.opts.Objects.GetObject(r.Context(), m.Object)
	var prefixes []uint64
	if err == nil {
		err = json.Unmarshal(data, &prefixes)
	}
	e.mu.Lock()
	matches := e.matchesGeneration(&m)
	if matches {
		for _, p := range prefixes {
			e.cache.add(e.clock.Now(), p)
		}
	}
	e.mu.Unlock()
	if !matches {
		http.Error(w, "in another generation", http.StatusPreconditionFailed)
		return
	}
	replyTransfer(w, err)
}

// matchesGeneration reports whether the KV transfer is for the engine's generation,
// or for any. The caller holds e.mu.
func (e *Engine) matchesGeneration(m *engine.KVMove) bool {
	return m.Generation == "" || m.Generation == engine.GenerationTag(e.state.Group, e.state.Generation)
}

func (e *Engine) readTransfer(w http.ResponseWriter, r *http.Request, m *engine.KVMove) bool {
	if e.opts.Objects == nil {
		http.Error(w, "the engine has no object store", http.StatusNotImplemented)
		return false
	}
	return fault.ReadJSON(w, r, m)
}

// replyTransfer sends the result of a KV transfer. An error comes from the object store or
// from decoding an object, hence the status 502.
func replyTransfer(w http.ResponseWriter, err error) {
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
	fault.ReplyJSON(w, http.StatusOK, e.Faults())
}

// faultOrder is the body of POST /faults. Fields that are left out keep their value.
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
	fault.ReplyJSON(w, http.StatusOK, o.Faults)
}
