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

// sendError returns the error of a try without any response.
func (d *Dispatcher) sendError(ctx context.Context, sn *sendTracker, err error) *outcome.Error {
	o := outcome.NotRun
	if sn.closeAndCheck() {
		o = outcome.Unknown
	}
	if ctx.Err() != nil {
		return d.stoppedError(ctx, o).WithCause(err)
	}
	if o == outcome.NotRun {
		return outcome.New(outcome.EndpointFailed, o, "the endpoint took no connection", "send the request again").WithCause(err)
	}
	return outcome.New(outcome.EndpointFailed, o, "the endpoint failed before it answered",
		"find out whether the request ran before sending it again").WithCause(err)
}

// stoppedError returns the error of a request that ended by its deadline or by the
// caller's disconnect.
func (d *Dispatcher) stoppedError(ctx context.Context, o outcome.Outcome) *outcome.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.New(outcome.DeadlineExceeded, o, "the deadline passed", "send the request again with more time")
	}
	return callerGoneError(o).WithCause(context.Cause(ctx))
}

// readError returns the error of a response that could not be read to its end.
func (d *Dispatcher) readError(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return d.stoppedError(ctx, outcome.Ran).WithCause(err)
	}
	return answerCutError("the endpoint's answer ended early", err)
}

func answerCutError(message string, err error) *outcome.Error {
	return outcome.New(outcome.AnswerCut, outcome.Ran, message,
		"the request ran; ask for the result, or send it again only if it may run twice").WithCause(err)
}

func callerGoneError(o outcome.Outcome) *outcome.Error {
	return outcome.New(outcome.CallerGone, o, "the caller left before the answer ended", "send the request again")
}

func badRequestError(err error) *outcome.Error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "the request cannot be sent", "check its path and headers").WithCause(err)
}

// excerptBytes is the maximum length of an endpoint's error text in logs.
const excerptBytes = 200

// excerptTimeout bounds the time to read the error text. The status and headers are
// sufficient: an endpoint that never ends the text would otherwise delay the retry of a
// request that did not run until the caller's deadline.
const excerptTimeout = 100 * time.Millisecond

func readExcerpt(resp *http.Response) string {
	stop := time.AfterFunc(excerptTimeout, func() { resp.Body.Close() })
	defer stop.Stop()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, excerptBytes))
	return string(b)
}

// notRunRefusal returns the error for a refusal that guarantees that the request did not
// run. A refusal because of an invalid request is not retried, since other endpoints
// would refuse it too.
func notRunRefusal(resp *http.Response) *outcome.Error {
	text := readExcerpt(resp)
	cause := fmt.Errorf("dispatch: endpoint %s: status %d: %q", resp.Request.URL.Host, resp.StatusCode, text)
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return outcome.New(outcome.BadRequest, outcome.NotRun,
			fmt.Sprintf("the endpoint does not take the request: %q", text), "correct the request").WithCause(cause)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, refusalMessage(resp), "send the request again").
		WithRetryAfter(parseRetryAfter(resp.Header)).WithCause(cause)
}

// unknownRefusal returns the error for a refusal without that guarantee.
func unknownRefusal(resp *http.Response) *outcome.Error {
	cause := fmt.Errorf("dispatch: endpoint %s: status %d: %q", resp.Request.URL.Host, resp.StatusCode, readExcerpt(resp))
	return outcome.New(outcome.EndpointFailed, outcome.Unknown, refusalMessage(resp),
		"find out whether the request ran before sending it again").WithRetryAfter(parseRetryAfter(resp.Header)).WithCause(cause)
}

// isFinalStatus reports whether the status is that of a final response. net/http also
// returns 101 and statuses below 100, which callers cannot use.
func isFinalStatus(resp *http.Response) bool { return resp.StatusCode >= http.StatusOK }

func refusalMessage(resp *http.Response) string {
	return "the endpoint refused with status " + strconv.Itoa(resp.StatusCode)
}
