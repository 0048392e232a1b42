package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"chervilloom/internal/balance"
	"chervilloom/internal/catalog"
	"chervilloom/internal/memory"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// failureResponse is an endpoint's complete error response.
type failureResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse classifies a response by its header and relays it. Unless the response was read
// to its end, the connection must not be reused afterwards.
func (x *exchange) handleResponse(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, ticket *balance.Ticket) Result {
	rep := x.f.Codec.ReadReply(x.req, resp)
	if rep.OtherRequest != "" {
		// A second response to an earlier request: the one to this request is still to come.
		conn.MarkUnusable()
		x.countRun()
		x.lastCause = fmt.Sprintf("response with status %d belongs to request %q", resp.StatusCode, rep.OtherRequest)
		return MayHaveRun
	}
	if !rep.MatchesRequest {
		// The endpoint may send it a second time, which the next request on this connection could
		// not tell from its own response. All responses on a kept connection have named their requests,
		// so one that names none belongs to the request just sent.
		conn.MarkUnusable()
	}
	if rep.HasLoad {
		ticket.RecordLoad(rep.Running, rep.Waiting)
	}
	x.recordPressure(ep, rep)
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case rep.NotRun || rep.IsMisdirected:
		return x.handleNotRun(ep, conn, resp, rep)
	case !rep.MatchesRequest || success && (!rep.HasStamp || rep.HasContentEncoding):
		// A forged response or one that names no request: it must not reach the client, and later
		// data on the connection cannot be trusted.
		conn.MarkUnusable()
		x.countRun()
		x.lastCause = fmt.Sprintf("response with status %d does not belong to the request", resp.StatusCode)
		return MayHaveRun
	}
	x.countRun()
	if rep.ClaimsNotRun && !x.route.Repeatable() {
		// The endpoint doesn't guarantee that the request has not run, as the status would to
		// the client.
		conn.MarkUnusable()
		x.lastCause = fmt.Sprintf("endpoint answered %d without a guarantee that the request has not run", resp.StatusCode)
		return Failed
	}
	if success && x.route.Repeat == catalog.Stream {
		return x.relayStream(ctx, ep, conn, resp, ticket)
	}
	return x.relayResponse(ctx, ep, conn, resp, success)
}

// recordPressure passes an endpoint's rate limit and backoff to the backpressure guard.
func (x *exchange) recordPressure(ep *roster.Endpoint, rep Reply) {
	if rep.IsMisdirected {
		return
	}
	if rep.SignalsErr != nil {
		x.f.Log.Debug("response header is unreadable", "request", loggedID(x.req.ID), "endpoint", ep.ID, "err", rep.SignalsErr)
	}
	signals := rep.Signals
	if signals.Limit != nil {
		x.f.Metrics.limited.Inc()
		x.f.Log.Debug("endpoint reports a rate limit", "request", loggedID(x.req.ID), "endpoint", ep.ID, "limit", *signals.Limit)
	}
	if signals.RetryAfter > 0 {
		x.f.Metrics.backoffs.Inc()
		x.f.Log.Debug("response requests a backoff", "request", loggedID(x.req.ID), "endpoint", ep.ID, "retry_after_ms", signals.RetryAfter.Milliseconds())
	}
	x.f.Backpressure.RecordAnswer(backpressureID(ep), signals, x.sentAt)
}

// handleNotRun handles a response that shows that the request has not run. The rest of the body
// is discarded so that the connection can be reused.
func (x *exchange) handleNotRun(ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, rep Reply) Result {
	conn.Drain(resp)
	x.lastCause = fmt.Sprintf("endpoint refused: status %d, at %q", resp.StatusCode, rep.CausingEndpoint)
	if rep.IsMisdirected || rep.CausingEndpoint != "" {
		x.f.Tracker.MarkSuspect(ep.ID)
		x.f.OnStaleEndpoint()
	}
	return NotRun
}

// maxBufferedResponse is the size in bytes up to which a response is buffered until it is
// complete, so that a truncated one never reaches the client and the request can be retried.
const maxBufferedResponse = 1 << 20

// readBuffered reads a response body into memory. It stops early, with complete false, at
// maxBufferedResponse or when the memory for bodies is used up; the rest is then relayed as it
// arrives.
func readBuffered(r io.Reader, held *memory.Reservation) (body []byte, complete bool, err error) {
	const chunk = 8 << 10
	for len(body) < maxBufferedResponse {
		if len(body) == cap(body) {
			growth := max(chunk, cap(body))
			if !held.Add(int64(growth)) {
				return body, false, nil
			}
			grown := make([]byte, len(body), cap(body)+growth)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// maxResponse is the size in bytes at which a response is cut off: no answer is as long, and one
// without end would take the node's link until the client's deadline.
const maxResponse = 64 << 20

// errResponseTooLong means that an endpoint sent more than maxResponse bytes.
var errResponseTooLong = errors.New("forward: the response exceeds 64 MiB; look at the endpoint's log")

// relayRest relays the rest of a response of which the client has the given number of bytes.
func relayRest(w io.Writer, body io.Reader, have int) error {
	left := int64(maxResponse - have)
	n, err := io.Copy(w, io.LimitReader(body, left+1))
	if err == nil && n > left {
		return errResponseTooLong
	}
	return err
}

// relayResponse relays a response that is not an event stream.
func (x *exchange) relayResponse(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, success bool) Result {
	held := memory.Reservation{Budget: &x.f.Memory, Source: string(ep.ID)}
	defer held.Release()
	body, complete, err := readBuffered(resp.Body, &held)
	if err != nil {
		conn.MarkUnusable()
		return x.classifyError(ctx, ep, err)
	}
	held.EndRead()
	if !success && !complete && len(body) >= maxBufferedResponse {
		conn.MarkUnusable()
		x.lastCause = fmt.Sprintf("endpoint answered %d with a body of over 1 MiB", resp.StatusCode)
		return MayHaveRun
	}
	if !success && complete {
		x.failure = &failureResponse{resp.StatusCode, resp.Header, body}
		x.lastCause = "endpoint answered " + strconv.Itoa(resp.StatusCode)
		return Failed
	}
	x.f.Codec.CopyHeader(x.w.Header(), resp.Header)
	if complete {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.ContentLength < 0 {
		x.beginUnframed()
	}
	x.w.WriteHeader(resp.StatusCode)
	x.recordHeaderSent()
	if _, err := x.w.Write(body); err != nil {
		conn.MarkUnusable()
		return x.classifyError(ctx, ep, err)
	}
	if !complete {
		have := len(body)
		body = nil
		held.Release()
		if err := relayRest(x.w, resp.Body, have); err != nil {
			conn.MarkUnusable()
			return x.classifyError(ctx, ep, err)
		}
	}
	return Answered
}

// relayStream relays a stream event by event. Events that the client already has are
// dropped.
func (x *exchange) relayStream(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, ticket *balance.Ticket) Result {
	out := http.NewResponseController(x.w)
	events := newEventReader(resp.Body)
	for {
		event, id, rest, err := events.next()
		if errors.Is(err, io.EOF) && len(rest) == 0 {
			// A stream without events is a valid response, for example one resumed
			// after its last event. Without writeHeader the client would get a 200
			// without the endpoint's headers.
			x.writeHeader(resp)
			return Answered
		}
		if err != nil {
			conn.MarkUnusable()
			return x.classifyError(ctx, ep, err)
		}
		ticket.RecordEvent()
		x.observeFirst()
		if x.isDuplicate(id) {
			continue
		}
		x.writeHeader(resp)
		if _, err := x.w.Write(event); err != nil {
			conn.MarkUnusable()
			x.lastCause = err.Error()
			return ClientGone
		}
		x.eventsSent++
		x.recordEvent()
		if id != "" {
			x.lastEventID = id
		}
		if !events.hasBuffered() {
			if err := out.Flush(); err != nil {
				conn.MarkUnusable()
				x.lastCause = err.Error()
				return ClientGone
			}
		}
	}
}

// writeHeader sends the response header before the first event. A response that is resumed at
// another endpoint keeps the header from its first endpoint.
func (x *exchange) writeHeader(resp *http.Response) {
	if x.progress.HeaderSent {
		return
	}
	x.f.Codec.CopyHeader(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length") // the stream may be assembled from several endpoints
	x.beginUnframed()
	x.w.WriteHeader(resp.StatusCode)
	x.recordHeaderSent()
}

// recordHeaderSent records that the response header was sent to the client.
func (x *exchange) recordHeaderSent() {
	x.progress.HeaderSent = true
	x.firstByteLatency = x.f.Clock.Now().Sub(x.start)
	x.f.Metrics.observeFirstByte(x.route, x.firstByteLatency)
	x.recordIfLate()
}

// recordEvent updates the longest pause between events after an event was sent to the client.
func (x *exchange) recordEvent() {
	now := x.f.Clock.Now()
	if x.lastEventAt != 0 {
		x.maxGap = max(x.maxGap, now.Sub(x.lastEventAt))
		x.recordIfLate()
	}
	x.lastEventAt = now
}

// isDuplicate reports whether the client already has the event. An endpoint that resumes too
// early sends some events twice.
func (x *exchange) isDuplicate(id string) bool {
	have, err := strconv.ParseUint(x.lastEventID, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n <= have
}
