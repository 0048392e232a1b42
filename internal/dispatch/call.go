package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"go.opentelemetry.io/otel/propagation"

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

// incoming takes the headers of an endpoint's answer that callers see. What
// the node itself needs of them must have been read before.
func incoming(resp *http.Response) http.Header {
	h := resp.Header
	length := h.Get("Content-Length")
	dropHop(h)
	dropInternal(h)
	if resp.Request.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	return h
}
