package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/propagation"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// newCall builds the HTTP request of one try.
func newCall(ctx context.Context, req *request.Request, addr string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr+req.Path, nil)
	if err != nil {
		return nil, err
	}
	r.Header = outgoing(req)
	r.ContentLength = int64(len(req.Body))
	r.Body = body(req)
	if req.Idempotent && len(req.Body) > 0 {
		r.GetBody = func() (io.ReadCloser, error) { return body(req), nil }
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

func body(req *request.Request) io.ReadCloser {
	if len(req.Body) == 0 {
		return http.NoBody
	}
	if req.Idempotent {
		return io.NopCloser(bytes.NewReader(req.Body))
	}
	return &onceBody{data: req.Body}
}

// hopHeaders belong to one connection and go no further.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// internalHeaders start the names of headers that only nodes and endpoints may
// say to each other: a caller could otherwise choose an engine's stream.
var internalHeaders = []string{"Engine-", "Service-Not-Run", "Chervilloom-"}

// The headers by which an endpoint knows a request.
const (
	headerRequest       = "Chervilloom-Request"
	headerCallerRequest = "X-Request-Id"
)

// outgoing returns the headers that the endpoint sees. It gets the system's
// request id besides the caller's own, which need not be unique.
func outgoing(req *request.Request) http.Header {
	out := req.Header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	dropHop(out)
	dropInternal(out)
	out.Set(headerRequest, req.ID)
	if out.Get(headerCallerRequest) == "" {
		out.Set(headerCallerRequest, req.ID)
	}
	return out
}

func dropInternal(h http.Header) {
	for k := range h {
		for _, p := range internalHeaders {
			if strings.HasPrefix(k, p) {
				delete(h, k)
			}
		}
	}
}

func dropHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
}

// incoming returns the headers of an endpoint's answer that callers see.
func incoming(resp *http.Response) http.Header {
	h := resp.Header.Clone()
	length := h.Get("Content-Length")
	dropHop(h)
	dropInternal(h)
	if resp.Request.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	return h
}

// frameBytes is the length of the pieces that a long body is passed on in.
const frameBytes = 32 << 10

// relayBody passes on an answer that is not a stream. It is held back up to
// the bound, so that an endpoint that dies within a short answer leaves the
// caller with nothing, and the request can be told truly or tried again.
func (d *Dispatcher) relayBody(ctx context.Context, s *session, resp *http.Response, h answer.Head) *outcome.Error {
	if !delimited(resp) {
		return answerCut("the endpoint's answer has no length, so that its end cannot be told from a cut", nil)
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.opt.AnswerBuffer)))
	if err != nil {
		return d.cutBy(ctx, err)
	}
	if oerr := s.start(h); oerr != nil {
		return oerr
	}
	if len(held) > 0 {
		if oerr := s.frame(answer.Frame{Offset: s.bytes, Data: held}); oerr != nil {
			return oerr
		}
	}
	if len(held) < d.opt.AnswerBuffer {
		return nil
	}
	return d.relayRest(ctx, s, resp.Body)
}

func (d *Dispatcher) relayRest(ctx context.Context, s *session, r io.Reader) *outcome.Error {
	for {
		buf := make([]byte, frameBytes)
		n, err := r.Read(buf)
		if n > 0 {
			if oerr := s.frame(answer.Frame{Offset: s.bytes, Data: buf[:n]}); oerr != nil {
				return oerr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return d.cutBy(ctx, err)
		}
	}
}

// delimited reports whether the end of the body can be told from a cut: it has
// a length, is chunked, or there is none.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// cutBy tells why reading an answer failed.
func (d *Dispatcher) cutBy(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return d.stopped(ctx, outcome.Ran)
	}
	return answerCut("the endpoint's answer ended early", err)
}

func answerCut(message string, err error) *outcome.Error {
	return outcome.New(outcome.AnswerCut, outcome.Ran, message,
		"the request ran; ask for the result, or send it again only if it may run twice").WithCause(err)
}

// failed tells how a try ended that got no answer at all.
func (d *Dispatcher) failed(ctx context.Context, sn *sends, err error) *outcome.Error {
	o := outcome.NotRun
	if sn.seal() {
		o = outcome.Unknown
	}
	if ctx.Err() != nil {
		return d.stopped(ctx, o).WithCause(err)
	}
	if o == outcome.NotRun {
		return outcome.New(outcome.EndpointFailed, o, "the endpoint took no connection", "send the request again").WithCause(err)
	}
	return outcome.New(outcome.EndpointFailed, o, "the endpoint failed before it answered",
		"find out whether the request ran before sending it again").WithCause(err)
}

// stopped tells that the time is over or that the caller has left.
func (d *Dispatcher) stopped(ctx context.Context, o outcome.Outcome) *outcome.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.New(outcome.DeadlineExceeded, o, "the deadline passed", "send the request again with more time")
	}
	return callerGone(o).WithCause(context.Cause(ctx))
}

// refusal reads how an endpoint refused: with the promise that nothing ran, or
// without it.
func refusal(resp *http.Response, notRun bool) *outcome.Error {
	o := outcome.Unknown
	if notRun {
		o = outcome.NotRun
	}
	excerpt, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
	e := outcome.New(outcome.EndpointFailed, o, "the endpoint refused with status "+strconv.Itoa(resp.StatusCode),
		"send the request again later").After(retryAfter(resp.Header))
	return e.WithCause(fmt.Errorf("dispatch: endpoint %s: %q", resp.Request.URL.Host, excerpt))
}
