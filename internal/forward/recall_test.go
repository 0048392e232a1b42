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

// recaller ends the first run once its endpoint has it.
type recaller struct {
	forward.Quarantine
	runs, recalled atomic.Int32
	came           chan struct{}
}

func (q *recaller) Begin(_ quarantine.Fingerprint, recall func()) func() {
	if q.runs.Add(1) == 1 {
		go func() {
			<-q.came
			recall()
		}()
	}
	return func() {}
}

func (q *recaller) Recalled(string, string, quarantine.Fingerprint, uint32) { q.recalled.Add(1) }

// Guards against an endpoint that is blamed for a run which the node itself ended, and
// against a request that is lost with it. The endpoint may still end by that run, which is
// looked at.
func TestRecalledRunIsMadeAgainAndBlamesNobody(t *testing.T) {
	is := is.New(t)
	q := &recaller{came: make(chan struct{})}
	var held atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held.Add(1) == 1 {
			close(q.came)
			<-r.Context().Done()
			return
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = io.WriteString(w, "ok") // a node that left needs no answer
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	r := newRig(t, 10, addr, addr)
	q.Quarantine = r.guard
	r.Quarantine = q
	var blamed atomic.Int32
	r.Unanswered = func(roster.ID) { blamed.Add(1) }
	status, body := r.get(t, "r1", "/lookup/x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "ok")
	is.Equal(q.runs.Load(), int32(2))
	is.Equal(blamed.Load(), int32(0))
	is.Equal(q.recalled.Load(), int32(1))
}
