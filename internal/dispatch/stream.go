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
	"chervilloom/internal/outcome"
	"chervilloom/internal/relay"
	"chervilloom/internal/view"
)

// A stream that breaks is resumed at its endpoint. The resumes in a row that
// bring no event are bounded, and spaced so that a restarting network is not
// met by all streams at once.
const (
	maxFruitless = 5
	resumeWait   = 20 * time.Millisecond // doubles with each fruitless resume
)

// follow passes on a stream, over as many connections as it takes. It closes
// resp's body.
func (d *Dispatcher) follow(ctx context.Context, s *session, resp *http.Response, h answer.Head, st *relay.Stream, g *view.Group, t *try) *outcome.Error {
	fruitless := 0
	for {
		before := st.Next()
		err := d.copyStream(s, resp, h, st, t)
		resp.Body.Close()
		var told *outcome.Error
		switch {
		case err == io.EOF:
			return s.start(h) // a resumed stream may have had only its end left
		case errors.As(err, &told):
			d.abandon(leader(g).Addr, st.Ref().Stream)
			return told
		case ctx.Err() != nil:
			d.abandon(leader(g).Addr, st.Ref().Stream)
			return d.stopped(ctx, outcome.Ran)
		case !relay.Resumable(err):
			t.blamed = true
			d.abandon(leader(g).Addr, st.Ref().Stream)
			return answerCut("the endpoint's stream is broken", err)
		}
		if st.Next() > before {
			fruitless = 0
		}
		next, cut := d.reopen(ctx, s, st, g, &fruitless, err)
		if cut != nil {
			t.blamed = ctx.Err() == nil
			return cut
		}
		resp = next
	}
}

// copyStream passes on events until the stream or the connection ends.
func (d *Dispatcher) copyStream(s *session, resp *http.Response, h answer.Head, st *relay.Stream, t *try) error {
	r := relay.NewReader(resp.Body, d.opt.EventBound)
	for {
		f, ok, err := st.Read(r)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		t.tokens++
		if oerr := s.start(h); oerr != nil {
			return oerr
		}
		if oerr := s.frame(f); oerr != nil {
			return oerr
		}
	}
}

// reopen asks the endpoint for the rest of a stream. Asking runs nothing, so
// that it is safe for any request.
func (d *Dispatcher) reopen(ctx context.Context, s *session, st *relay.Stream, g *view.Group, fruitless *int, cause error) (*http.Response, *outcome.Error) {
	for {
		if *fruitless >= maxFruitless {
			return nil, answerCut("the endpoint's stream broke and cannot be resumed", cause)
		}
		if !sleep(ctx, resumeWait<<*fruitless) {
			return nil, d.stopped(ctx, outcome.Ran)
		}
		*fruitless++
		resp, err := d.openStream(ctx, s, st, g)
		if err != nil {
			cause = err
			continue
		}
		d.metrics.resumes.Inc()
		if oerr := checkEngine(resp, g); oerr != nil {
			resp.Body.Close()
			return nil, answerCut("the endpoint changed generation within the stream", oerr)
		}
		if !isEventStream(resp) {
			resp.Body.Close()
			return nil, answerCut("the endpoint no longer has the stream", fmt.Errorf("dispatch: status %d", resp.StatusCode))
		}
		return resp, nil
	}
}

func (d *Dispatcher) openStream(ctx context.Context, s *session, st *relay.Stream, g *view.Group) (*http.Response, error) {
	u := streamURL(leader(g).Addr, st.Ref().Stream) + "?from=" + strconv.FormatUint(st.From(), 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	setEngineHeaders(r.Header, s.req, st.Ref())
	resp, _, err := d.client.do(r, true)
	return resp, err
}

func streamURL(addr, stream string) string {
	return "http://" + addr + "/v1/streams/" + url.PathEscape(stream)
}
