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

// A stream that breaks is resumed at its endpoint, until it goes on or
// resumeLimit has passed without an event. The first resume comes at once
// enough for nobody to notice; the waits between the next ones double, so that
// a network that comes back is not met by all streams at once.
const (
	resumeLimit = 8 * time.Second
	firstWait   = 10 * time.Millisecond
	longestWait = time.Second
)

// following is one stream on its way to the caller, over as many connections
// to its engine as it takes.
type following struct {
	d    *Dispatcher
	s    *session
	g    *view.Group
	t    *try
	head answer.Head
	st   *relay.Stream
	at   *endpointRun

	silent clock.Instant // when the stream broke first since its last event
	wait   time.Duration // before the next resume
}

// run passes the stream on. It closes resp's body. ctx is the request's,
// guarded the one that also ends when the replica is lost.
func (f *following) run(ctx, guarded context.Context, resp *http.Response) *outcome.Error {
	for {
		before := f.t.tokens
		err := f.copy(resp)
		resp.Body.Close()
		if f.t.tokens > before {
			f.wait = 0
		}
		if err == io.EOF {
			return f.s.start(f.head) // a resumed stream may have had only its end left
		}
		if told := f.final(ctx, err); told != nil {
			f.leave(told)
			return told
		}
		f.at.broke(guarded) // the look at the endpoint must not wait until resuming is given up
		var cut *outcome.Error
		if resp, cut = f.reopen(ctx, guarded, err); cut != nil {
			return cut
		}
	}
}

// mark begins the bound on resumes, once until events come again. An endpoint
// that takes every resume and sends nothing would otherwise be asked without
// end, and the caller would wait for its deadline.
func (f *following) mark() {
	if f.wait == 0 {
		f.silent, f.wait = f.d.opt.Clock.Now(), firstWait
	}
}

func (f *following) abandoned() abandoned {
	return abandoned{leader(f.g).Addr, f.st.Ref().Stream}
}

// leave ends the stream at the engine, or keeps it for a caller that may come back.
func (f *following) leave(told *outcome.Error) {
	f.d.leave(f.abandoned(), told.Kind == outcome.CallerGone && f.s.lastID != "")
}

// final returns what the caller is told when the stream must not go on.
func (f *following) final(ctx context.Context, err error) *outcome.Error {
	var told *outcome.Error
	switch {
	case errors.As(err, &told):
		return told
	case ctx.Err() != nil:
		return f.d.stopped(ctx, outcome.Ran)
	case !relay.Resumable(err):
		f.t.blamed = true
		return answerCut("the endpoint's stream is broken", err)
	}
	return nil
}

// copy passes on events until the stream or the connection ends.
func (f *following) copy(resp *http.Response) error {
	r := relay.NewReader(resp.Body, f.d.opt.EventBound)
	for {
		frame, ok, err := f.st.Read(r)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		f.t.tokens++
		if told := f.s.start(f.head); told != nil {
			return told
		}
		if told := f.s.frame(frame); told != nil {
			return told
		}
	}
}

// reopen asks the endpoint for the rest of the stream. Asking runs nothing, so
// that it is safe for any request.
func (f *following) reopen(ctx, guarded context.Context, cause error) (*http.Response, *outcome.Error) {
	f.mark()
	for {
		wait := f.wait
		f.wait = min(2*wait, longestWait)
		switch {
		case !clock.Sleep(guarded, wait):
			return nil, f.lost(ctx, because(guarded, cause))
		case !f.d.opt.Clock.Now().Before(f.silent.Add(resumeLimit)):
			f.d.abandon(f.abandoned()) // the engine may still produce for nobody
			f.t.blamed = true
			return nil, answerCut("the endpoint's stream broke and cannot be resumed", cause)
		}
		resp, err := f.open(guarded)
		if err != nil {
			cause = err
			continue
		}
		f.d.metrics.resumes.Inc()
		if cut := f.check(resp); cut != nil {
			resp.Body.Close()
			f.t.blamed = true
			return nil, cut
		}
		return resp, nil
	}
}

// lost tells why the wait for a stream ended.
func (f *following) lost(ctx context.Context, cause error) *outcome.Error {
	if ctx.Err() != nil {
		told := f.d.stopped(ctx, outcome.Ran)
		f.leave(told)
		return told
	}
	f.d.abandon(f.abandoned())
	f.t.blamed = true
	return answerCut("the group that answers has lost a member", cause)
}

// check refuses an answer to a resume that is not the rest of this stream.
func (f *following) check(resp *http.Response) *outcome.Error {
	if err := checkEngine(resp, f.g); err != nil {
		return answerCut("the endpoint changed generation within the stream", err)
	}
	if !isEventStream(resp) {
		return answerCut("the endpoint no longer has the stream", fmt.Errorf("dispatch: status %d", resp.StatusCode))
	}
	return nil
}

func (f *following) open(ctx context.Context) (*http.Response, error) {
	u := streamURL(leader(f.g).Addr, f.st.Ref().Stream) + "?from=" + strconv.FormatUint(f.st.From(), 10)
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

// because returns the reason for which the guard gave up, or err.
func because(guarded context.Context, err error) error {
	if cause := context.Cause(guarded); cause != nil && !errors.Is(cause, guarded.Err()) {
		return cause
	}
	return err
}
