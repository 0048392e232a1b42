package test

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"

	"chervilloom/internal/standin"
)

// writeHold stands between a node and the platform and can hold the node's
// transactions back. A transaction that was held lands when it is let go, also
// when its writer has long given up: a write that was under way.
type writeHold struct {
	store string

	mu   sync.Mutex
	gate chan struct{} // closed when transactions are let go; nil: none is held
	held int
	work sync.WaitGroup
}

// startWriteHold starts one in front of the platform at store.
func startWriteHold(t *testing.T, store string) (*writeHold, string) {
	t.Helper()
	h := &writeHold{store: store}
	s, err := standin.Start("127.0.0.1:0", h)
	must(t, err)
	t.Cleanup(func() {
		h.release()
		_ = s.Close()
		h.work.Wait()
	})
	return h, s.Addr
}

func (h *writeHold) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gate = make(chan struct{})
}

// release lets the held transactions go and waits until they have landed.
func (h *writeHold) release() {
	h.mu.Lock()
	if h.gate != nil {
		close(h.gate)
		h.gate = nil
	}
	h.mu.Unlock()
	h.work.Wait()
}

// holding returns how many transactions of the groups are held.
func (h *writeHold) holding() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

func (h *writeHold) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.mu.Lock()
	gate := h.gate
	write := r.Method == http.MethodPost && gate != nil
	if write {
		h.work.Add(1)
		if bytes.Contains(body, []byte(`"table":"groups"`)) {
			h.held++
		}
	}
	h.mu.Unlock()
	if write {
		defer h.work.Done()
		<-gate
	}
	h.pass(w, r, body)
}

// pass hands the request on, whether or not its sender still waits.
func (h *writeHold) pass(w http.ResponseWriter, r *http.Request, body []byte) {
	req, err := http.NewRequest(r.Method, "http://"+h.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.Header = r.Header.Clone()
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer res.Body.Close()
	for k, v := range res.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(res.StatusCode)
	_, _ = io.Copy(w, res.Body)
}
