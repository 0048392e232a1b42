package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// maxBody is the largest request body in bytes.
const maxBody = 64 << 20

// ServeHTTP serves the protocol of the platform's client and, for tests:
//
//	POST   /faults        sets Faults; "save" and "restore" copy the store
//	GET    /faults        returns Faults
//	GET    /stats         returns Stats
//	POST   /admin/vms     adds or replaces a fleet.Record
//	DELETE /admin/vms/VM  removes a VM
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

// admit applies the faults to a request. It returns ok = false if the request was
// answered with an error, and loseAnswer = true if its connection must be closed
// after it is applied.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, a requestCost) (loseAnswer, ok bool) {
	if !p.Faults().ForgetAttempts {
		w.Header().Set(platform.HeaderAttempts, platform.AttemptsKept)
	}
	switch p.applyFaults(r.Context(), a) {
	case effectClosed:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	case effectUnavailable:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false, false
	case effectLimited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate limit", http.StatusTooManyRequests)
		return false, false
	case effectLoseAnswer:
		return true, true
	default:
		return false, true
	}
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, requestCost{}); ok {
		replyJSON(w, p.get(r.PathValue("table"), r.PathValue("key")))
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, requestCost{}); ok {
		replyJSON(w, p.list(r.PathValue("table"), r.URL.Query().Get("prefix")))
	}
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn platform.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	loseAnswer, ok := p.admit(w, r, requestCost{write: true, rows: len(txn.Writes)})
	if !ok {
		return
	}
	res := p.commit(txn)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	replyJSON(w, res)
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, requestCost{}); !ok {
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
	loseAnswer, ok := p.admit(w, r, requestCost{write: true})
	if !ok {
		return
	}
	p.putObject(r.PathValue("name"), data)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if _, ok := p.admit(w, r, requestCost{}); ok {
		replyJSON(w, p.listVMs())
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) { replyJSON(w, p.Faults()) }

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	order := faultOrder{Faults: p.Faults()}
	if !readJSON(w, r, &order) {
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
	replyJSON(w, order.Faults)
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) { replyJSON(w, p.Stats()) }

func (p *Platform) serveAddVM(w http.ResponseWriter, r *http.Request) {
	var rec fleet.Record
	if !readJSON(w, r, &rec) {
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

// readJSON decodes the JSON body into v. On an error, an unknown field included, it
// answers with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func replyJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler) // the client disconnected
	}
}
