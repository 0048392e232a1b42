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

// A clerk repeats a receipt under its key after the first answer was lost, and
// the repeat meets a node that shuts down, or is refused for its body. This
// try did not run, but the first one may have: told "not-run", the clerk would
// send it under a new key and issue two receipts.
func TestRefusedRepeatIsNotToldNotRun(t *testing.T) {
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
			s, url := serve(t, echo, nil)
			if tc.closed {
				is.NoErr(s.Drain(context.Background()))
			}
			resp := do(t, "POST", url+"/services/counter/receipts", strings.NewReader(tc.body), tc.header...)
			is.True(resp.StatusCode >= 400)
			is.Equal(resp.Header.Get(outcome.Header), string(tc.want))
			is.Equal(told(t, resp.Body).Error.Outcome, tc.want)
		})
	}
}

// Somebody without a key opens many connections and sends long bodies slowly.
// Each is refused by its header alone: read first, the bodies of strangers
// would fill the node's memory and callers with keys would be cut off.
func TestStrangersBodyIsNotRead(t *testing.T) {
	is := is.New(t)
	served := false
	_, url := serve(t, func(context.Context, *request.Request, answer.Writer) { served = true }, func(o *Options) {
		o.Authorise = func(http.Header) (fleet.Organisation, *outcome.Error) {
			return "", outcome.New(outcome.Unauthorised, outcome.NotRun, "the key is not known", "check the key")
		}
	})
	endless, end := io.Pipe() // gives nothing until the answer has come
	defer end.Close()
	resp := do(t, "POST", url+chatPath, io.MultiReader(bytes.NewReader([]byte("{")), endless))
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.True(resp.Close) // what is left of the body is not waited for
	is.Equal(told(t, resp.Body).Error.Type, outcome.Unauthorised)
	is.True(!served)
}

// The path ends an answer with a status that HTTP has no answer for, as an
// endpoint's "000" would be. net/http panics on it; the caller must be told of
// a failure and not be given an empty success.
func TestImpossibleStatusIsNoSuccess(t *testing.T) {
	for _, status := range []int{0, 99, 101, 103, 1000} {
		for _, stream := range []bool{false, true} {
			is := is.New(t)
			_, url := serve(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
				w.Start(answer.Head{Status: status, Stream: stream, Header: http.Header{"Content-Encoding": {"gzip"}}})
				w.Finish(answer.End{Whole: true})
			}, nil)
			resp := do(t, "GET", url+"/services/counter/x", nil)
			is.Equal(resp.StatusCode, http.StatusInternalServerError)
			is.Equal(resp.Header.Get(outcome.Header), string(outcome.Unknown))
			is.Equal(told(t, resp.Body).Error.Type, outcome.Internal)
		}
	}
}

// An engine's event holds line ends within its JSON. A reader of server-sent
// events takes a carriage return for a line's end as well: the rest of the
// event would be a field it does not know, and be lost without notice.
func TestLineEndsWithinAnEventLoseNothing(t *testing.T) {
	for _, data := range []string{"{\n\"a\":1}", "{\r\"a\":1}", "{\r\n\"a\":1}"} {
		is := is.New(t)
		_, url := serve(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200, Stream: true})
			w.Frame(answer.Frame{ID: "s:0", Data: []byte(data)})
			w.Finish(answer.End{Whole: true})
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

// Somebody begins a body and sends nothing more. The request is refused after a
// while as "not run", wherever it goes: the body's memory, a connection, and the
// place among the requests in progress, for which a shutdown waits, would
// otherwise be held for ever.
func TestBodyThatNeverEndsIsGivenUp(t *testing.T) {
	for _, path := range []string{"/services/counter/receipts", "/tickets", "/nowhere"} {
		is := is.New(t)
		s, url := serve(t, echo, func(o *Options) { o.BodyTimeout = 20 * time.Millisecond })
		endless, end := io.Pipe()
		resp := do(t, "POST", url+path, io.MultiReader(strings.NewReader("{"), endless))
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		is.True(resp.Close)
		body := told(t, resp.Body)
		is.Equal(body.Error.Outcome, outcome.NotRun)
		is.Equal(strings.Contains(body.Error.Message, "20ms"), strings.HasPrefix(path, "/services/"))
		is.NoErr(s.Drain(context.Background())) // waits for nothing
		end.Close()
	}
}

// The time for a body ends with the body: an answer may take longer.
func TestBodyTimeoutDoesNotCutTheAnswer(t *testing.T) {
	is := is.New(t)
	const timeout = 50 * time.Millisecond
	_, url := serve(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		select {
		case <-ctx.Done(): // what a read that fails would end
		case <-time.After(4 * timeout):
		}
		is.NoErr(ctx.Err())
		echo(ctx, req, w)
	}, func(o *Options) { o.BodyTimeout = timeout })
	for range 2 { // the second comes over the same connection
		resp := do(t, "POST", url+"/services/counter/x", strings.NewReader("body"))
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "POST /services/counter/x body")
	}
}
