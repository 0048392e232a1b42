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
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// failure is an endpoint's own complete answer that is no success.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// judge handles an answer whose head has come. It leaves the connection spoiled
// unless the answer was read to its end.
func (x *exchange) judge(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, ticket *balance.Ticket) Result {
	rep := x.f.Codec.Judge(x.req, resp)
	if rep.HasLoad {
		ticket.Load(rep.Running, rep.Waiting)
	}
	x.notePressure(ep, rep)
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case rep.NotRun || rep.Other:
		return x.notRun(ep, conn, resp, rep)
	case !rep.Ours || success && (!rep.Signed || rep.Encoded):
		// A late or forged answer of another request: it must not reach the
		// client, and whatever follows on the connection is not to be trusted.
		conn.Spoil()
		x.progress.Runs++
		x.lastCause = fmt.Sprintf("answer %d is not the request's own", resp.StatusCode)
		return MayHaveRun
	}
	x.progress.Runs++
	if success && x.route.Repeat == catalog.Stream {
		return x.relayEvents(ctx, ep, conn, resp, ticket)
	}
	return x.relayWhole(ctx, ep, conn, resp, success)
}

// notePressure takes up what an endpoint says of how much it takes.
func (x *exchange) notePressure(ep *roster.Endpoint, rep Reply) {
	if rep.Other {
		return
	}
	if rep.Unreadable != nil {
		x.f.Log.Debug("answer's header not readable", "request", x.req.ID, "endpoint", ep.ID, "err", rep.Unreadable)
	}
	signals := rep.Pressure
	if signals.Limit != nil {
		x.f.Metrics.limited.Inc()
		x.f.Log.Debug("answer names a rate limit", "request", x.req.ID, "endpoint", ep.ID, "limit", *signals.Limit)
	}
	if signals.RetryAfter > 0 {
		x.f.Metrics.backoffs.Inc()
		x.f.Log.Debug("answer asks for a backoff", "request", x.req.ID, "endpoint", ep.ID, "retry_after_ms", signals.RetryAfter.Milliseconds())
	}
	x.f.Backpressure.Answered(pressureID(ep), signals, x.sentAt)
}

func (x *exchange) notRun(ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, rep Reply) Result {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		conn.Spoil()
	}
	x.lastCause = fmt.Sprintf("endpoint refused: status %d, at %q", resp.StatusCode, rep.Culprit)
	if rep.Other || rep.Culprit != "" {
		x.f.Tracker.Suspect(ep.ID)
		x.f.Missed()
	}
	return NotRun
}

// wholeLimit is the size up to which an answer is held until it is complete, so
// that a truncated one never reaches the client and can be asked for again.
const wholeLimit = 1 << 20

// relayWhole passes on an answer that is no stream of events.
func (x *exchange) relayWhole(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, success bool) Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit+1))
	if err != nil {
		conn.Spoil()
		return x.failed(ctx, ep, err)
	}
	if !success && len(body) <= wholeLimit {
		x.failure = &failure{resp.StatusCode, resp.Header, body}
		x.lastCause = "endpoint answered " + strconv.Itoa(resp.StatusCode)
		return Failed
	}
	x.f.Codec.Relay(x.w.Header(), resp.Header)
	if len(body) <= wholeLimit {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(resp.StatusCode)
	x.noteBegun()
	if _, err := x.w.Write(body); err != nil {
		conn.Spoil()
		return x.failed(ctx, ep, err)
	}
	if len(body) > wholeLimit {
		if _, err := io.Copy(x.w, resp.Body); err != nil {
			conn.Spoil()
			return x.failed(ctx, ep, err)
		}
	}
	return Answered
}

// relayEvents passes a stream on event by event.
func (x *exchange) relayEvents(ctx context.Context, ep *roster.Endpoint, conn *upstream.Conn, resp *http.Response, ticket *balance.Ticket) Result {
	out := http.NewResponseController(x.w)
	events := newEventReader(resp.Body)
	for {
		event, id, rest, err := events.next()
		if errors.Is(err, io.EOF) && len(rest) == 0 {
			// A stream without an event is an answer too: one that goes on after
			// its last event. Without its head the client would get a bare 200.
			x.begin(resp)
			return Answered
		}
		if err != nil {
			conn.Spoil()
			return x.failed(ctx, ep, err)
		}
		ticket.Event()
		if x.seen(id) {
			continue
		}
		x.begin(resp)
		if _, err := x.w.Write(event); err != nil {
			conn.Spoil()
			x.lastCause = err.Error()
			return ClientGone
		}
		x.events++
		x.noteEvent()
		if id != "" {
			x.resume = id
		}
		if !events.ready() {
			if err := out.Flush(); err != nil {
				conn.Spoil()
				x.lastCause = err.Error()
				return ClientGone
			}
		}
	}
}

// begin sends the head of the answer at the first event. An answer that goes
// on at another endpoint keeps the head of its first one.
func (x *exchange) begin(resp *http.Response) {
	if x.progress.Begun {
		return
	}
	x.f.Codec.Relay(x.w.Header(), resp.Header)
	x.w.Header().Del("Content-Length") // the whole stream may come from several endpoints
	x.w.WriteHeader(resp.StatusCode)
	x.noteBegun()
}

func (x *exchange) noteBegun() {
	x.progress.Begun = true
	x.first = x.f.Clock.Now().Sub(x.start)
	x.f.Metrics.began(x.route, x.first)
}

// noteEvent takes up the pause before an event that has gone to the client.
func (x *exchange) noteEvent() {
	now := x.f.Clock.Now()
	if x.lastEvent != 0 {
		x.gap = max(x.gap, now.Sub(x.lastEvent))
	}
	x.lastEvent = now
}

// seen reports whether the client has the event already. An endpoint that goes
// on too early would send pieces twice.
func (x *exchange) seen(id string) bool {
	have, err := strconv.ParseUint(x.resume, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n <= have
}
