package accept

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/once"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// A caller repeats a call with its idempotency key after the first answer was
// lost. The repeat is refused because the node shuts down or the body is too
// long. The first attempt may have run: with the outcome "not-run" the caller
// would repeat the call with a new key, and it would run twice.
func TestRefusedRepeatHasUnknownOutcome(t *testing.T) {
	long := strings.Repeat("x", 2000)
	cases := []struct {
		name, body string
		closed     bool
		header     []string
		want       outcome.Outcome
	}{
		{"closing, key", "", true, []string{HeaderKey, "k"}, outcome.Unknown},
		{"closing, ticket", "", true, []string{HeaderTicket, "t"}, outcome.Unknown},
		{"closing, key, vouched first", "", true, []string{HeaderKey, "k", once.KeyStateHeader, once.KeyStateFirst}, outcome.NotRun},
		{"closing, no key", "", true, nil, outcome.NotRun},
		{"too long, key", long, false, []string{HeaderKey, "k"}, outcome.Unknown},
		{"too long, no key", long, false, nil, outcome.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, url := startServer(t, echo, nil)
			if tc.closed {
				is.NoErr(s.Drain(context.Background()))
			}
			resp := do(t, "POST", url+"/services/counter/receipts", strings.NewReader(tc.body), tc.header...)
			is.True(resp.StatusCode >= 400)
			is.Equal(resp.Header.Get(outcome.Header), string(tc.want))
			is.Equal(decodeErrorBody(t, resp.Body).Error.Outcome, tc.want)
		})
	}
}

// An unauthorised client opens many connections and sends long bodies slowly.
// Each request is refused before its body is read: the bodies would otherwise
// exhaust the node's memory, and authorised callers would be disconnected.
func TestUnauthorisedBodyIsNotRead(t *testing.T) {
	is := is.New(t)
	served := false
	_, url := startServer(t, func(context.Context, *request.Request, answer.Writer) { served = true }, func(o *Options) {
		o.Authorise = func(http.Header) (fleet.Organisation, *outcome.Error) {
			return "", outcome.New(outcome.Unauthorised, outcome.NotRun, "the key is not known", "check the key")
		}
	})
	endless, end := io.Pipe() // blocks until the answer has been received
	defer end.Close()
	resp := do(t, "POST", url+chatPath, io.MultiReader(bytes.NewReader([]byte("{")), endless))
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.True(resp.Close) // the server does not wait for the rest of the body
	is.Equal(decodeErrorBody(t, resp.Body).Error.Type, outcome.Unauthorised)
	is.True(!served)
}

// The request path starts an answer with a status that is invalid in HTTP, such
// as an endpoint's "000". net/http panics on it; the caller must receive an
// internal error and not an empty success.
func TestInvalidStatusIsInternalError(t *testing.T) {
	for _, status := range []int{0, 99, 101, 103, 1000} {
		for _, stream := range []bool{false, true} {
			is := is.New(t)
			_, url := startServer(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
				w.Start(answer.Head{Status: status, Stream: stream, Header: http.Header{"Content-Encoding": {"gzip"}}})
				w.Finish(answer.End{Complete: true})
			}, nil)
			resp := do(t, "GET", url+"/services/counter/x", nil)
			is.Equal(resp.StatusCode, http.StatusInternalServerError)
			is.Equal(resp.Header.Get(outcome.Header), string(outcome.Unknown))
			is.Equal(decodeErrorBody(t, resp.Body).Error.Type, outcome.Internal)
		}
	}
}

// An engine's event contains line breaks within its JSON. Readers of server-sent
// events also end a line at a carriage return, so the rest of the event would be
// an unknown field and be dropped silently.
func TestLineBreaksInEventData(t *testing.T) {
	for _, data := range []string{"{\n\"a\":1}", "{\r\"a\":1}", "{\r\n\"a\":1}"} {
		is := is.New(t)
		_, url := startServer(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200, Stream: true})
			w.Frame(answer.Frame{ID: "s:0", Data: []byte(data)})
			w.Finish(answer.End{Complete: true})
		}, nil)
		body, err := io.ReadAll(do(t, "POST", url+chatPath, nil).Body)
		is.NoErr(err)
		lines := strings.FieldsFunc(string(body), func(c rune) bool { return c == '\n' || c == '\r' })
		is.Equal(lines[0], "id: s:0")
		is.Equal(lines[1], "data: {")
		is.Equal(lines[len(lines)-2], `data: "a":1}`)
		is.Equal(lines[len(lines)-1], "data: [DONE]")
	}
}

// A client starts a body and stops sending. On every path the request is refused
// as "not run" after the body timeout. Otherwise it would occupy memory and a
// connection forever, and a shutdown would wait for it among the requests in
// progress.
func TestBodyTimeout(t *testing.T) {
	for _, path := range []string{"/services/counter/receipts", "/tickets", "/nowhere"} {
		is := is.New(t)
		s, url := startServer(t, echo, func(o *Options) { o.BodyTimeout = 20 * time.Millisecond })
		endless, end := io.Pipe()
		resp := do(t, "POST", url+path, io.MultiReader(strings.NewReader("{"), endless))
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.True(resp.Close)
		body := decodeErrorBody(t, resp.Body)
		is.Equal(body.Error.Outcome, outcome.NotRun)
		is.Equal(strings.Contains(body.Error.Message, "20ms"), strings.HasPrefix(path, "/services/"))
		is.NoErr(s.Drain(context.Background())) // no request is left in progress
		end.Close()
	}
}

// The body timeout applies to reading the body only; the answer may take longer.
func TestBodyTimeoutDoesNotCutTheAnswer(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	_, url := startServer(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		select {
		case <-ctx.Done(): // an expired read deadline would cancel ctx
		case <-time.After(4 * timeout):
		}
		is.NoErr(ctx.Err())
		echo(ctx, req, w)
	}, func(o *Options) { o.BodyTimeout = timeout })
	for range 2 { // the second request reuses the connection
		resp := do(t, "POST", url+"/services/counter/x", strings.NewReader("body"))
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "POST /services/counter/x body")
	}
}
