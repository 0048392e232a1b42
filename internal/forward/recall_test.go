package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/forward"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
)

// recallingQuarantine is a quarantine that recalls the first run once its endpoint has the
// request.
type recallingQuarantine struct {
	forward.Quarantine
	runs, recalled  atomic.Int32
	requestReceived chan struct{}
}

func (q *recallingQuarantine) BeginRun(_ quarantine.Fingerprint, recall func()) func() {
	if q.runs.Add(1) == 1 {
		go func() {
			<-q.requestReceived
			recall()
		}()
	}
	return func() {}
}

func (q *recallingQuarantine) AttemptRecalled(string, string, quarantine.Fingerprint, uint32, ...quarantine.Part) {
	q.recalled.Add(1)
}

// Guards against a recalled run that counts as a failure of its endpoint, and against the
// loss of its request. The run is reported to the quarantine as recalled, because the
// endpoint may still terminate because of it.
func TestRecalledRunIsRetriedAndNotCountedAsFailure(t *testing.T) {
	is := is.New(t)
	q := &recallingQuarantine{requestReceived: make(chan struct{})}
	var held atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held.Add(1) == 1 {
			close(q.requestReceived)
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = io.WriteString(w, "ok") // an error means that the node disconnected
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	r := newTestForwarder(t, 10, addr, addr)
	q.Quarantine = r.guard
	r.Quarantine = q
	var blamed atomic.Int32
	r.OnNoResponse = func(*roster.Endpoint) { blamed.Add(1) }
	status, body := r.get(t, "r1", "/lookup/x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(q.runs.Load(), int32(2))
	is.Equal(blamed.Load(), int32(0))
	is.Equal(q.recalled.Load(), int32(1))
}
