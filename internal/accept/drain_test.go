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

// held is a path whose answers wait until they are let go.
type held struct {
	began chan string
	let   chan struct{}
}

func (h *held) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	h.began <- req.Path
	<-h.let
	echo(ctx, req, w)
}

// A node is told to stop while a clerk waits for a receipt. First the node
// fails its readiness, so that the balancer sends no more; requests that still
// come are answered, on connections that then close. After that new requests
// are refused "not run", and the clerk gets the receipt before the node ends.
func TestDrainCutsNothing(t *testing.T) {
	is := is.New(t)
	h := &held{began: make(chan string, 4), let: make(chan struct{}, 4)}
	notice := 300 * time.Millisecond
	s, url := serve(t, h.Serve, func(o *Options) { o.Notice = notice })
	defer close(h.let)
	answers := make(chan *http.Response, 4)
	ask := func(path string) {
		go func() { answers <- do(t, "POST", url+"/services/counter"+path, nil) }()
	}
	ask("/early")
	is.Equal(<-h.began, "/services/counter/early")

	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	testkit.Eventually(t, "readiness fails", func() bool { return do(t, "GET", url+"/readyz", nil).StatusCode == 503 })

	ask("/late")
	select {
	case <-h.began: // within the notice
	case resp := <-answers: // the machine was slow and the notice over
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
	h.let <- struct{}{}
	h.let <- struct{}{}
	is.NoErr(<-drained)
	for range 2 {
		resp := <-answers
		is.True(resp.Close) // the answers given while draining close their connections
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(len(body) > 0)
	}
	is.Equal(s.InFlight(), 0)
}

func TestDrainTellsWhatIsLeft(t *testing.T) {
	is := is.New(t)
	h := &held{began: make(chan string, 1), let: make(chan struct{}, 1)}
	s, url := serve(t, h.Serve, nil)
	defer close(h.let)
	done := make(chan struct{})
	go func() {
		defer close(done)
		do(t, "POST", url+chatPath, nil)
	}()
	<-h.began
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(s.Drain(ctx), context.Canceled)
	is.Equal(s.InFlight(), 1)
	h.let <- struct{}{}
	<-done
	is.NoErr(s.Drain(context.Background()))
}
