package accept

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type emptyView struct{}

func (emptyView) Snapshot() *view.Snapshot {
	return &view.Snapshot{Config: &config.Document{Models: []config.Model{{Name: "renewals", Current: "v1"}}}}
}

// startServer starts a server with h as its handler.
func startServer(t *testing.T, h filter.Func, change func(*Options)) (*Server, string) {
	t.Helper()
	opt := Options{Handler: h, View: emptyView{}, Clock: clock.Boot{}, BodyLimit: 1000, AnswerBuffer: 1000}
	if change != nil {
		change(&opt)
	}
	s := New(opt)
	srv := httptest.NewServer(s)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		srv.CloseClientConnections()
		srv.Close()
	})
	return s, srv.URL
}

func do(t *testing.T, method, url string, body io.Reader, header ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func decodeErrorBody(t *testing.T, body io.Reader) outcome.Body {
	t.Helper()
	var b outcome.Body
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		t.Fatal(err)
	}
	return b
}

// echo answers with the request's method, path and body.
func echo(_ context.Context, req *request.Request, w answer.Writer) {
	w.Start(answer.Head{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}})
	w.Frame(answer.Frame{Data: []byte(req.Method + " " + req.Path + " ")})
	w.Frame(answer.Frame{Data: req.Body})
	w.Finish(answer.End{Complete: true})
}

const chatPath = "/v1/chat/completions"

func TestRequestReachesHandlerUnchanged(t *testing.T) {
	is := is.New(t)
	var got *request.Request
	_, url := startServer(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		got = req
		echo(ctx, req, w)
	}, nil)
	resp := do(t, "PUT", url+"/services/counter//a/../b%2Fc?x=1", strings.NewReader("body"),
		"X-Request-Id", "theirs", HeaderKey, "k", HeaderTicket, "t",
		"Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	body, _ := io.ReadAll(resp.Body)
	is.Equal(string(body), "PUT /services/counter//a/../b%2Fc?x=1 body")
	is.Equal(resp.Header.Get("Content-Length"), fmt.Sprint(len(body)))
	is.Equal(resp.Header.Get(HeaderRequest), got.ID)
	is.True(got.ID != "theirs")
	is.Equal(got.Key, "k")
	is.Equal(got.Ticket, "t")
	is.True(strings.Contains(got.TraceParent, "0af7651916cd43dd8448eb211c80319c"))
}

func TestOversizedBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	ran := false
	_, url := startServer(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		ran = true
		echo(ctx, req, w)
	}, nil)
	// With and without a Content-Length.
	for _, body := range []io.Reader{strings.NewReader(strings.Repeat("x", 1001)), io.LimitReader(zeros{}, 5000)} {
		resp := do(t, "POST", url+chatPath, body)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.Equal(resp.Header.Get(outcome.Header), "not-run")
		is.Equal(decodeErrorBody(t, resp.Body).Error.Type, outcome.TooLarge)
	}
	is.True(!ran)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// The caller's connection breaks in the middle of the body. The incomplete body
// must not be forwarded: an endpoint could process it as a complete request.
func TestIncompleteBodyIsNotForwarded(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 1)
	s, url := startServer(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		ran <- struct{}{}
		echo(ctx, req, w)
	}, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", chatPath)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	answered, err := io.ReadAll(c)
	is.NoErr(err)
	c.Close()
	is.True(bytes.Contains(answered, []byte("Chervilloom-Outcome: not-run")))
	is.Equal(s.InFlight(), 0)
	is.Equal(len(ran), 0)
}

func newStreamHandler(end answer.End, n int) filter.Func {
	return func(_ context.Context, _ *request.Request, w answer.Writer) {
		w.Start(answer.Head{Status: 200, Stream: true})
		for i := range n {
			w.Frame(answer.Frame{Offset: uint64(i), ID: fmt.Sprintf("e.g.1.s:%d", i), Data: fmt.Appendf(nil, `{"n":%d}`, i)})
		}
		w.Finish(end)
	}
}

func TestWholeStreamEndsWithDone(t *testing.T) {
	is := is.New(t)
	_, url := startServer(t, newStreamHandler(answer.End{Complete: true}, 2), nil)
	resp := do(t, "POST", url+chatPath, nil)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "id: e.g.1.s:0\ndata: {\"n\":0}\n\nid: e.g.1.s:1\ndata: {\"n\":1}\n\ndata: [DONE]\n\n")
	is.Equal(resp.Header.Get("Content-Type"), "text/event-stream")
	is.Equal(resp.Trailer.Get(outcome.Header), "ran")
}

// The endpoint fails in the middle of a stream. The stream ends with an error
// event and without [DONE], and the connection is aborted, so that a client that
// checks neither event still detects the truncation.
func TestTruncatedStreamEndsWithErrorAndAbort(t *testing.T) {
	is := is.New(t)
	cut := outcome.New(outcome.AnswerCut, outcome.Ran, "cut", "ask anew")
	_, url := startServer(t, newStreamHandler(answer.End{Error: cut}, 2), nil)
	resp := do(t, "POST", url+chatPath, nil)
	body, err := io.ReadAll(resp.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(!bytes.Contains(body, []byte("[DONE]")))
	_, data, ok := strings.Cut(string(body), "event: error\ndata: ")
	is.True(ok)
	b := decodeErrorBody(t, strings.NewReader(data))
	is.Equal(b.Error.Outcome, outcome.Ran)
	is.Equal(b.Error.RequestID, resp.Header.Get(HeaderRequest))
}

// A non-streamed answer is truncated. While it fits in the buffer, the status
// reports the failure; beyond the buffer the connection is aborted.
func TestTruncatedBody(t *testing.T) {
	cut := outcome.New(outcome.AnswerCut, outcome.Ran, "cut", "ask").WithRetryAfter(1500 * time.Millisecond)
	answerOf := func(n int) filter.Func {
		return func(_ context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			w.Frame(answer.Frame{Data: bytes.Repeat([]byte("x"), n)})
			w.Finish(answer.End{Error: cut})
		}
	}
	t.Run("short", func(t *testing.T) {
		is := is.New(t)
		_, url := startServer(t, answerOf(1000), nil)
		resp := do(t, "POST", url+chatPath, nil)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(outcome.Header), "ran")
		is.Equal(resp.Header.Get("Retry-After"), "2")
		is.Equal(decodeErrorBody(t, resp.Body).Error.Type, outcome.AnswerCut)
	})
	t.Run("long", func(t *testing.T) {
		is := is.New(t)
		_, url := startServer(t, answerOf(1001), nil)
		resp := do(t, "POST", url+chatPath, nil)
		_, err := io.ReadAll(resp.Body)
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
	t.Run("long, HTTP/1.0", func(t *testing.T) {
		is := is.New(t)
		_, url := startServer(t, answerOf(1001), nil)
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		is.NoErr(err)
		defer c.Close()
		fmt.Fprintf(c, "POST %s HTTP/1.0\r\n\r\n", chatPath)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		defer resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	})
}

func TestUnbufferedBodyHasOutcomeTrailer(t *testing.T) {
	is := is.New(t)
	_, url := startServer(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
		w.Start(answer.Head{Status: 200})
		for range 5 {
			w.Frame(answer.Frame{Data: bytes.Repeat([]byte("x"), 400)})
		}
		w.Finish(answer.End{Complete: true})
	}, nil)
	resp := do(t, "POST", url+chatPath, nil)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), 2000)
	is.Equal(resp.Trailer.Get(outcome.Header), "ran")
}

func TestAnswersWithoutBody(t *testing.T) {
	for _, status := range []int{200, 204, 304} {
		for _, method := range []string{"GET", "HEAD"} {
			is := is.New(t)
			_, url := startServer(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
				h := http.Header{"X-Seen": {"yes"}}
				if method == "HEAD" {
					h.Set("Content-Length", "77")
				}
				w.Start(answer.Head{Status: status, Header: h})
				w.Finish(answer.End{Complete: true})
			}, nil)
			resp := do(t, method, url+"/services/counter/x", nil)
			is.Equal(resp.StatusCode, status)
			is.Equal(resp.Header.Get("X-Seen"), "yes")
			is.Equal(resp.Header.Get(outcome.Header), "ran")
			if method == "HEAD" && status == 200 {
				is.Equal(resp.ContentLength, int64(77))
			}
		}
	}
}

func TestHealthTicketsAndModels(t *testing.T) {
	is := is.New(t)
	ready := true
	s, url := startServer(t, echo, func(o *Options) {
		o.Ready = func() (bool, string) { return ready, "because" }
		o.Tickets = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ticket") })
		o.Authorise = func(h http.Header) (fleet.Organisation, *outcome.Error) {
			if h.Get("Authorization") == "" {
				return "", outcome.New(outcome.Unauthorised, outcome.NotRun, "no key", "send one")
			}
			return "sagarmatha", nil
		}
	})
	text := func(resp *http.Response) string {
		b, _ := io.ReadAll(resp.Body)
		return strings.TrimSpace(string(b))
	}
	is.Equal(text(do(t, "GET", url+"/healthz", nil)), "ok")
	is.Equal(do(t, "GET", url+"/readyz", nil).StatusCode, 200)
	ready = false
	resp := do(t, "GET", url+"/readyz", nil)
	is.Equal(resp.StatusCode, 503)
	is.Equal(text(resp), "because")
	is.Equal(text(do(t, "POST", url+"/tickets", nil)), "ticket")
	is.Equal(do(t, "GET", url+"/v1/models", nil).StatusCode, 401)
	is.True(strings.Contains(text(do(t, "GET", url+"/v1/models", nil, "Authorization", "x")), `"renewals"`))
	is.Equal(decodeErrorBody(t, do(t, "GET", url+"/nowhere", nil).Body).Error.Type, outcome.BadRequest)
	is.Equal(do(t, "DELETE", url+chatPath, nil).StatusCode, 400)
	is.Equal(s.InFlight(), 0)
}

func TestStreamResumeID(t *testing.T) {
	is := is.New(t)
	var resumed []string
	_, url := startServer(t, func(ctx context.Context, req *request.Request, w answer.Writer) {
		resumed = append(resumed, req.ResumeID)
		echo(ctx, req, w)
	}, nil)
	do(t, "GET", url+"/v1/streams/e1.g%252E1.3.s:4", nil)
	do(t, "GET", url+"/v1/streams/x", nil, "Last-Event-ID", "e1.g.3.s:5")
	do(t, "POST", url+chatPath, nil, "Last-Event-ID", "e1.g.3.s:6")
	is.Equal(resumed, []string{"e1.g%2E1.3.s:4", "e1.g.3.s:5", "e1.g.3.s:6"})
}

// The handler panics or returns without finishing the answer. The caller must
// receive an internal error and not an answer that looks complete.
func TestUnfinishedAnswerIsInternalError(t *testing.T) {
	for _, panics := range []bool{false, true} {
		is := is.New(t)
		s, url := startServer(t, func(_ context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			w.Frame(answer.Frame{Data: []byte("part")})
			if panics {
				panic("a fault")
			}
		}, nil)
		resp := do(t, "POST", url+chatPath, nil)
		is.Equal(resp.StatusCode, 500)
		is.Equal(resp.Header.Get(outcome.Header), "unknown")
		is.Equal(decodeErrorBody(t, resp.Body).Error.Type, outcome.Internal)
		is.Equal(s.InFlight(), 0)
	}
}
