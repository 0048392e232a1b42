package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// Bound of a request's body.
const maxBody = 64 << 20

// ServeHTTP serves the protocol of the platform's client, and for tests:
//
//	POST   /faults        Faults, "save", "restore"; GET shows them
//	GET    /stats         Stats
//	POST   /admin/vms     fleet.Record to add or replace
//	DELETE /admin/vms/VM
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/{table}/{key}", p.serveGet)
	mux.HandleFunc("GET /v1/table/{table}", p.serveList)
	mux.HandleFunc("POST /v1/txn", p.serveTxn)
	mux.HandleFunc("GET /v1/objects/{name}", p.serveGetObject)
	mux.HandleFunc("PUT /v1/objects/{name}", p.servePutObject)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("GET /faults", p.serveFaults)
	mux.HandleFunc("POST /faults", p.serveSetFaults)
	mux.HandleFunc("GET /stats", p.serveStats)
	mux.HandleFunc("POST /admin/vms", p.serveAddVM)
	mux.HandleFunc("DELETE /admin/vms/{vm}", p.serveRemoveVM)
	return mux
}

// admit applies the faults to a request. It returns false when the request has
// got all the answer it will get.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, a access) (lose, ok bool) {
	if !p.Faults().ForgetAttempts {
		w.Header().Set(platform.HeaderAttempts, platform.AttemptsKept)
	}
	switch p.enter(r.Context(), a) {
	case fateClosed:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case fateRefused:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false, false
	case fateLimited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		return false, false
	case fateLoseAnswer:
		return true, true
	default:
		return false, true
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, access{}); ok {
		reply(w, p.get(r.PathValue("table"), r.PathValue("key")))
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, access{}); ok {
		reply(w, p.list(r.PathValue("table"), r.URL.Query().Get("prefix")))
	}
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !read(w, r, &txn) {
		return
	}
	lose, ok := p.admit(w, r, access{write: true, rows: len(txn.Writes)})
	if !ok {
		return
	}
	res := p.commit(txn)
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, res)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, access{}); !ok {
		return
	}
	data, ok := p.getObject(r.PathValue("name"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lose, ok := p.admit(w, r, access{write: true})
	if !ok {
		return
	}
	p.putObject(r.PathValue("name"), data)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, access{}); ok {
		reply(w, p.listVMs())
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) { reply(w, p.Faults()) }

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	order := faultOrder{Faults: p.Faults()}
	if !read(w, r, &order) {
		return
	}
	if order.Save {
		p.Save()
	}
	if order.Restore {
		if err := p.Restore(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
	p.SetFaults(order.Faults)
	reply(w, order.Faults)
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) { reply(w, p.Stats()) }

func (p *Platform) serveAddVM(w http.ResponseWriter, r *http.Request) {
	var rec fleet.Record
	if !read(w, r, &rec) {
		return
	}
	if rec.VM == "" {
		http.Error(w, "vm is missing", http.StatusBadRequest)
		return
	}
	p.AddVM(rec)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(fleet.VM(r.PathValue("vm")))
	w.WriteHeader(http.StatusNoContent)
}

// read decodes the JSON body; fields that are not known are refused.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler) // the reader has left
	}
}
