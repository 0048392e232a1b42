package test

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"

	"chervilloom/internal/standin"
)

// writeInterceptor is a proxy between a node and the platform that can delay
// the node's transactions. A delayed transaction is applied on release, even if
// its sender has given up: it simulates a write in flight.
type writeInterceptor struct {
	store string

	mu            sync.Mutex
	releaseSignal chan struct{} // closed on release; nil: transactions are not delayed
	groupWrites   int
	pending       sync.WaitGroup
}

// startWriteInterceptor starts an interceptor for the platform at store and
// returns its address.
func startWriteInterceptor(t *testing.T, store string) (*writeInterceptor, string) {
	t.Helper()
	h := &writeInterceptor{store: store}
	s, err := standin.Start("127.0.0.1:0", h)
	must(t, err)
	t.Cleanup(func() {
		h.release()
		_ = s.Close()
		h.pending.Wait()
	})
	return h, s.Addr
}

// hold delays transactions until release is called.
func (h *writeInterceptor) hold() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releaseSignal = make(chan struct{})
}

// release forwards the delayed transactions and waits until they are complete.
func (h *writeInterceptor) release() {
	h.mu.Lock()
	if h.releaseSignal != nil {
		close(h.releaseSignal)
		h.releaseSignal = nil
	}
	h.mu.Unlock()
	h.pending.Wait()
}

// heldGroupWrites returns the number of transactions on the group table that
// have been delayed.
func (h *writeInterceptor) heldGroupWrites() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groupWrites
}

func (h *writeInterceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.mu.Lock()
	releaseSignal := h.releaseSignal
	write := r.Method == http.MethodPost && releaseSignal != nil
	if write {
		h.pending.Add(1)
		if bytes.Contains(body, []byte(`"table":"groups"`)) {
			h.groupWrites++
		}
	}
	h.mu.Unlock()
	if write {
		defer h.pending.Done()
		<-releaseSignal
	}
	h.forward(w, r, body)
}

// forward sends the request to the platform, even if its sender no longer
// waits.
func (h *writeInterceptor) forward(w http.ResponseWriter, r *http.Request, body []byte) {
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
