package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"chervilloom/internal/answer"
	"chervilloom/internal/engine"
	"chervilloom/internal/outcome"
)

// frameBytes is the length of the pieces that a long body is passed on in.
const frameBytes = 32 << 10

// check looks at a body that was received whole and tells what is missing.
type check func(resp *http.Response, body []byte) error

// reply is an answer that is not a stream, received up to the bound.
type reply struct {
	head answer.Head
	held []byte
	rest io.Reader // what is beyond the bound; nil: held is all
}

// receive holds an answer back up to the bound, so that an endpoint that dies
// within a short answer leaves the caller with nothing, and the request can be
// told truly or tried again.
func (d *Dispatcher) receive(ctx context.Context, resp *http.Response, h answer.Head, whole check) (*reply, *outcome.Error) {
	if !delimited(resp) {
		return nil, answerCut("the endpoint's answer has no length, so that its end cannot be told from a cut", nil)
	}
	if isEventStream(resp) {
		return &reply{head: h, rest: resp.Body}, nil // a service's own feed: each event counts when it comes
	}
	held, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.opt.AnswerBuffer)))
	if err != nil {
		return nil, d.cutBy(ctx, err)
	}
	if len(held) == d.opt.AnswerBuffer {
		return &reply{head: h, held: held, rest: resp.Body}, nil
	}
	if err := whole(resp, held); err != nil {
		return nil, answerCut("the endpoint's answer is not whole", err)
	}
	return &reply{head: h, held: held}, nil
}

// deliver passes an answer on.
func (d *Dispatcher) deliver(ctx context.Context, s *session, r *reply) *outcome.Error {
	if err := s.start(r.head); err != nil {
		return err
	}
	if len(r.held) > 0 {
		if err := s.frame(answer.Frame{Offset: s.bytes, Data: r.held}); err != nil {
			return err
		}
	}
	if r.rest == nil {
		return nil
	}
	return d.relayRest(ctx, s, r.rest)
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

var (
	errNotJSON   = errors.New("dispatch: the JSON document ends early")
	errNoEnd     = errors.New("dispatch: the completion has no finish reason or no token count")
	errNotAnswer = errors.New("dispatch: the answer is no completion")
)

// wholeDocument refuses a chunked JSON answer that is not a whole document. An
// endpoint that gives up half-way may end the chunks properly; what it sent
// looks whole to HTTP.
func wholeDocument(resp *http.Response, body []byte) error {
	if resp.ContentLength >= 0 || len(body) == 0 || !isJSON(resp) || json.Valid(body) {
		return nil
	}
	return errNotJSON
}

func isJSON(resp *http.Response) bool {
	return resp.Header.Get("Content-Encoding") == "" && mediaType(resp.Header) == "application/json"
}

// wholeCompletion refuses a completion without its end: a replica that lost a
// member may close its answer as if it were whole.
func wholeCompletion(resp *http.Response, body []byte) error {
	if resp.StatusCode != http.StatusOK {
		return wholeDocument(resp, body)
	}
	var a engine.ChatAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Join(errNotAnswer, err)
	}
	if len(a.Choices) == 0 || a.Choices[0].FinishReason == nil || a.Usage.CompletionTokens == 0 {
		return errNoEnd
	}
	return nil
}
