package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
)

// A clerk sends a receipt. The first endpoint refuses it, promises that nothing
// ran, and then never ends the text of its refusal. The promise is in the
// header: the second endpoint is asked long before the clerk's deadline.
func TestRefusalWithoutEndIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addHandler(func(w http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body) // net/http notices a closed connection only then
		w.Header().Set(headerServiceNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, "leaving")
		http.NewResponseController(w).Flush()
		<-req.Context().Done()
	})
	s := r.addService()
	c := r.serve(context.Background(), r.receipt("a"))
	is.True(c.end.Whole)
	is.Equal(s.Executions("POST", "/receipts", "a"), 1)
	is.Equal(r.router.begun, 2)
}

// An endpoint answers with a status that no HTTP answer has, or changes the
// protocol unasked. The receipt may have been issued: the clerk is told so at
// once, and never gets the status or what follows it as an answer.
func TestImpossibleStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000 Zero", "042 Low", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			r.addHandler(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				r.t.Cleanup(func() { conn.Close() })
				answerRaw(conn, status)
			})
			c := r.serve(context.Background(), r.receipt("a"))
			is.True(!c.end.Whole)
			is.Equal(c.started, 0)
			is.Equal(c.end.Error.Kind, outcome.EndpointFailed)
			is.Equal(c.end.Error.Outcome, outcome.Unknown)
			is.True(r.router.results[0].Failed)
		})
	}
}

func answerRaw(conn net.Conn, status string) {
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n", status)
}
