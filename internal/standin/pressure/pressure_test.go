package pressure

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sendRequests sends 40 requests of one caller in 4 s. If lost is set, the endpoint
// aborts each request without an answer.
func sendRequests(e *Monitor, lost bool) {
	names := HeaderNames{Limit: "Limit", RetryAfter: "Retry-After", Leaving: "Leaving", NotRun: "Not-Run", NotRunValue: "1"}
	for range 40 {
		func() {
			defer func() { _ = recover() }() // as the server does with http.ErrAbortHandler
			e.Serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), names, GracePeriods{Limit: time.Second},
				func(w http.ResponseWriter, _ *http.Request) {
					if lost {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(http.StatusOK)
				})
		}()
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against violations reported for callers that received no answer and so no
// signal.
func TestLostAnswersCarryNoSignal(t *testing.T) {
	for _, s := range []Signals{{Limit: 1}, {Leaving: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var e Monitor
			e.SetSignals(s)
			sendRequests(&e, true)
			is.Equal(len(e.Violations()), 0)
			sendRequests(&e, false)
			is.True(len(e.Violations()) > 0)
		})
	}
}
