package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/view"
)

// A broken stream is resumed at its endpoint until events arrive again or resumeLimit has
// passed without an event. The first wait is short enough to go unnoticed; the following
// ones double, so that a network that recovers does not get all resumes at once.
const (
	resumeLimit   = 8 * time.Second
	minResumeWait = 10 * time.Millisecond
	maxResumeWait = time.Second
)

// streamRelay forwards one stream to the caller, over any number of connections to its
// engine.
type streamRelay struct {
	d        *Dispatcher
	s        *session
	g        *view.Group
	t        *try
	head     answer.Head
	st       *relay.Stream
	endpoint *endpointRun

	brokenSince clock.Instant // time of the first break since the last event
	nextWait    time.Duration // delay before the next resume
}

// run forwards the stream. It closes resp's body. ctx is the request's context; guarded
// is also cancelled when the replica is lost.
func (f *streamRelay) run(ctx, guarded context.Context, resp *http.Response) *outcome.Error {
	for {
		before := f.t.tokens
		err := f.copyEvents(resp)
		resp.Body.Close()
		if f.t.tokens > before {
			f.nextWait = 0
		}
		if err == io.EOF {
			return f.s.start(f.head) // a resumed stream may contain only the end marker
		}
		if oerr := f.finalError(ctx, err); oerr != nil {
			f.leave(oerr)
			return oerr
		}
		f.endpoint.recordBroken(guarded) // check the endpoint now, not only after resuming has failed
		var cut *outcome.Error
		if resp, cut = f.resume(ctx, guarded, err); cut != nil {
			return cut
		}
	}
}

// startResumeLimit starts the time limit on resumes, once until events arrive again.
// Without it, an endpoint that accepts every resume and sends nothing would be asked
// until the caller's deadline.
func (f *streamRelay) startResumeLimit() {
	if f.nextWait == 0 {
		f.brokenSince, f.nextWait = f.d.opt.Clock.Now(), minResumeWait
	}
}

func (f *streamRelay) abandonedStream() abandonedStream {
	return abandonedStream{leader(f.g).Addr, f.st.Ref().Stream}
}

// leave cancels the stream at the engine, or keeps it if the caller may resume it.
func (f *streamRelay) leave(oerr *outcome.Error) {
	f.d.detach(f.abandonedStream(), oerr.Kind == outcome.CallerGone && f.s.lastEventID != "")
}

// finalError returns the error for the caller if the stream must not be resumed, or nil.
func (f *streamRelay) finalError(ctx context.Context, err error) *outcome.Error {
	var oerr *outcome.Error
	switch {
	case errors.As(err, &oerr):
		return oerr
	case ctx.Err() != nil:
		return f.d.stoppedError(ctx, outcome.Ran)
	case !relay.IsResumable(err):
		f.t.endpointFailed = true
		return answerCutError("the endpoint's stream is broken", err)
	}
	return nil
}

// copyEvents forwards events until the stream or the connection ends.
func (f *streamRelay) copyEvents(resp *http.Response) error {
	r := relay.NewReader(resp.Body, f.d.opt.MaxEventBytes)
	for {
		frame, ok, err := f.st.Read(r)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		f.t.tokens++
		if oerr := f.s.start(f.head); oerr != nil {
			return oerr
		}
		if oerr := f.s.frame(frame); oerr != nil {
			return oerr
		}
	}
}

// resume requests the rest of the stream from the endpoint. It starts no new run, so it
// is safe for any request.
func (f *streamRelay) resume(ctx, guarded context.Context, cause error) (*http.Response, *outcome.Error) {
	f.startResumeLimit()
	for {
		wait := f.nextWait
		f.nextWait = min(2*wait, maxResumeWait)
		switch {
		case !clock.Sleep(guarded, wait):
			return nil, f.lostError(ctx, cancelCause(guarded, cause))
		case !f.d.opt.Clock.Now().Before(f.brokenSince.Add(resumeLimit)):
			f.d.queueCancel(f.abandonedStream()) // the engine may still be generating
			f.t.endpointFailed = true
			return nil, answerCutError("the endpoint's stream broke and cannot be resumed", cause)
		}
		resp, err := f.requestRest(guarded)
		if err != nil {
			cause = err
			continue
		}
		f.d.metrics.resumes.Inc()
		if cut := f.checkResumed(resp); cut != nil {
			resp.Body.Close()
			f.t.endpointFailed = true
			return nil, cut
		}
		return resp, nil
	}
}

// lostError returns the reason why waiting for the stream ended.
func (f *streamRelay) lostError(ctx context.Context, cause error) *outcome.Error {
	if ctx.Err() != nil {
		oerr := f.d.stoppedError(ctx, outcome.Ran)
		f.leave(oerr)
		return oerr
	}
	f.d.queueCancel(f.abandonedStream())
	f.t.endpointFailed = true
	return answerCutError("the group that answers has lost a member", cause)
}

// checkResumed rejects a response to a resume that is not the rest of this stream.
func (f *streamRelay) checkResumed(resp *http.Response) *outcome.Error {
	if err := checkEngineResponse(resp, f.g); err != nil {
		return answerCutError("the endpoint changed generation within the stream", err)
	}
	if !isEventStream(resp) {
		return answerCutError("the endpoint no longer has the stream", fmt.Errorf("dispatch: status %d", resp.StatusCode))
	}
	return nil
}

func (f *streamRelay) requestRest(ctx context.Context) (*http.Response, error) {
	u := streamURL(leader(f.g).Addr, f.st.Ref().Stream) + "?from=" + strconv.FormatUint(f.st.ResumeOffset(), 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	setEngineHeaders(r.Header, f.s.req, f.st.Ref())
	resp, _, err := f.d.client.do(r, true)
	return resp, err
}

func streamURL(addr, stream string) string {
	return "http://" + addr + "/v1/streams/" + url.PathEscape(stream)
}

// cancelCause returns the reason given by lossGuard, or err if there is none.
func cancelCause(guarded context.Context, err error) error {
	if cause := context.Cause(guarded); cause != nil && !errors.Is(cause, guarded.Err()) {
		return cause
	}
	return err
}
