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
	r.Header = outgoingHeaders(req)
	r.ContentLength = int64(len(req.Body))
	r.Body = newRequestBody(req)
	if req.Idempotent && len(req.Body) > 0 {
		r.GetBody = func() (io.ReadCloser, error) { return newRequestBody(req), nil }
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

func newRequestBody(req *request.Request) io.ReadCloser {
	if len(req.Body) == 0 {
		return http.NoBody
	}
	if req.Idempotent {
		return io.NopCloser(bytes.NewReader(req.Body))
	}
	return &unrewindableBody{data: req.Body}
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// internalHeaderPrefixes are the prefixes of headers reserved for nodes and endpoints.
// They are removed from callers' requests: a caller could otherwise select an engine's
// stream.
var internalHeaderPrefixes = []string{"Engine-", "Service-Not-Run", "Chervilloom-"}

// Headers that identify a request to the endpoint.
const (
	headerRequestID       = "Chervilloom-Request"
	headerCallerRequestID = "X-Request-Id"
)

// outgoingHeaders returns the headers sent to the endpoint. The system's request ID is
// added to the caller's own, which need not be unique.
func outgoingHeaders(req *request.Request) http.Header {
	out := req.Header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	dropHopHeaders(out)
	dropInternalHeaders(out)
	out.Set(headerRequestID, req.ID)
	if out.Get(headerCallerRequestID) == "" {
		out.Set(headerCallerRequestID, req.ID)
	}
	return out
}

func dropInternalHeaders(h http.Header) {
	for k := range h {
		for _, p := range internalHeaderPrefixes {
			if strings.HasPrefix(k, p) {
				delete(h, k)
			}
		}
	}
}

func dropHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
}

// incomingHeaders returns the response headers that callers receive. It modifies
// resp.Header, so headers that the node itself needs must be read before.
func incomingHeaders(resp *http.Response) http.Header {
	h := resp.Header
	length := h.Get("Content-Length")
	dropHopHeaders(h)
	dropInternalHeaders(h)
	if resp.Request.Method == http.MethodHead && length != "" {
		h.Set("Content-Length", length)
	}
	return h
}
