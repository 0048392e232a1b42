package accept

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/testkit"
)

// blockedHandler answers each request after a receive from release.
type blockedHandler struct {
	started chan string
	release chan struct{}
}

func (h *blockedHandler) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	h.started <- req.Path
	<-h.release
	echo(ctx, req, w)
}

// A node shuts down while a request is in progress. First its readiness check
// fails, so that the load balancer stops sending; requests that still arrive are
// answered and their connections closed. Then new requests are refused with the
// outcome "not run", and the request in progress is finished before Drain returns.
func TestDrainFinishesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	h := &blockedHandler{started: make(chan string, 4), release: make(chan struct{}, 4)}
	notice := 300 * time.Millisecond
	s, url := startServer(t, h.Serve, func(o *Options) { o.DrainNotice = notice })
	defer close(h.release)
	answers := make(chan *http.Response, 4)
	ask := func(path string) {
		go func() { answers <- do(t, "POST", url+"/services/counter"+path, nil) }()
	}
	ask("/early")
	is.Equal(<-h.started, "/services/counter/early")

	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	testkit.Eventually(t, "readiness fails", func() bool { return do(t, "GET", url+"/readyz", nil).StatusCode == 503 })

	ask("/late")
	select {
	case <-h.started: // within the notice period
	case resp := <-answers: // the machine was slow and the notice period had ended
		answers <- resp
	}
	testkit.Eventually(t, "new requests are refused", func() bool {
		resp := do(t, "GET", url+"/v1/models", nil)
		is.True(resp.Close)
		if resp.StatusCode == http.StatusOK {
			return false
		}
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(outcome.Header), "not-run")
		return true
	})
	is.True(s.InFlight() > 0)
	is.Equal(len(drained), 0)
	h.release <- struct{}{}
	h.release <- struct{}{}
	is.NoErr(<-drained)
	for range 2 {
		resp := <-answers
		is.True(resp.Close) // answers during a drain close their connections
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(len(body) > 0)
	}
	is.Equal(s.InFlight(), 0)
}

func TestDrainReturnsContextError(t *testing.T) {
	is := is.New(t)
	h := &blockedHandler{started: make(chan string, 1), release: make(chan struct{}, 1)}
	s, url := startServer(t, h.Serve, nil)
	defer close(h.release)
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(t, "POST", url+chatPath, nil)
	}()
	<-h.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(s.Drain(ctx), context.Canceled)
	is.Equal(s.InFlight(), 1)
	h.release <- struct{}{}
	<-done
	is.NoErr(s.Drain(context.Background()))
}
