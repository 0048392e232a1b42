package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilloom/internal/outcome"
)

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

// cutBy tells why reading an answer failed.
func (d *Dispatcher) cutBy(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return d.stopped(ctx, outcome.Ran).WithCause(err)
	}
	return answerCut("the endpoint's answer ended early", err)
}

func answerCut(message string, err error) *outcome.Error {
	return outcome.New(outcome.AnswerCut, outcome.Ran, message,
		"the request ran; ask for the result, or send it again only if it may run twice").WithCause(err)
}

func callerGone(o outcome.Outcome) *outcome.Error {
	return outcome.New(outcome.CallerGone, o, "the caller left before the answer ended", "send the request again")
}

func badCall(err error) *outcome.Error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "the request cannot be sent", "check its path and headers").WithCause(err)
}

// excerptBytes of an endpoint's refusal go into the logs.
const excerptBytes = 200

// excerptTime bounds the wait for that text. What counts is in the header: an
// endpoint that never ends its text would keep a call that did not run from
// being tried elsewhere until the caller's deadline.
const excerptTime = 100 * time.Millisecond

func excerpt(resp *http.Response) string {
	stop := time.AfterFunc(excerptTime, func() { resp.Body.Close() })
	defer stop.Stop()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, excerptBytes))
	return string(b)
}

// refusedNotRun reads a refusal with the endpoint's promise that nothing ran.
// One that finds fault with the request would be the same elsewhere.
func refusedNotRun(resp *http.Response) *outcome.Error {
	text := excerpt(resp)
	cause := fmt.Errorf("dispatch: endpoint %s: status %d: %q", resp.Request.URL.Host, resp.StatusCode, text)
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return outcome.New(outcome.BadRequest, outcome.NotRun,
			fmt.Sprintf("the endpoint does not take the request: %q", text), "correct the request").WithCause(cause)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, refusedWith(resp), "send the request again").
		After(retryAfter(resp.Header)).WithCause(cause)
}

// refusedUnknown reads a refusal without that promise.
func refusedUnknown(resp *http.Response) *outcome.Error {
	cause := fmt.Errorf("dispatch: endpoint %s: status %d: %q", resp.Request.URL.Host, resp.StatusCode, excerpt(resp))
	return outcome.New(outcome.EndpointFailed, outcome.Unknown, refusedWith(resp),
		"find out whether the request ran before sending it again").After(retryAfter(resp.Header)).WithCause(cause)
}

// isAnswer reports whether the status ends an exchange. net/http passes on 101
// and what is below 100; a caller could make nothing of either.
func isAnswer(resp *http.Response) bool { return resp.StatusCode >= http.StatusOK }

func refusedWith(resp *http.Response) string {
	return "the endpoint refused with status " + strconv.Itoa(resp.StatusCode)
}
