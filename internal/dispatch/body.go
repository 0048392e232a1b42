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

// frameBytes is the maximum size of the frames in which a long body is forwarded.
const frameBytes = 32 << 10

// bodyCheck validates a complete response body and returns an error if a part is missing.
type bodyCheck func(resp *http.Response, body []byte) error

// reply is a non-streaming response, buffered up to AnswerBufferBytes bytes.
type reply struct {
	head answer.Head
	data []byte
	rest io.Reader // unread remainder; nil if data is the whole body
}

// receive buffers a response up to AnswerBufferBytes bytes. If an endpoint fails within a
// short response, the caller has received nothing, so the error can state the outcome or
// the request can be retried.
func (d *Dispatcher) receive(ctx context.Context, resp *http.Response, h answer.Head, checkBody bodyCheck) (*reply, *outcome.Error) {
	if !isDelimited(resp) {
		return nil, answerCutError("the endpoint's answer has no length, so that its end cannot be told from a cut", nil)
	}
	if isEventStream(resp) {
		return &reply{head: h, rest: resp.Body}, nil // event feed of a service: forward each event on arrival
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.opt.AnswerBufferBytes)))
	if err != nil {
		return nil, d.readError(ctx, err)
	}
	if len(data) == d.opt.AnswerBufferBytes {
		return &reply{head: h, data: data, rest: resp.Body}, nil
	}
	if err := checkBody(resp, data); err != nil {
		return nil, answerCutError("the endpoint's answer is not whole", err)
	}
	return &reply{head: h, data: data}, nil
}

// deliver writes a reply to the session.
func (d *Dispatcher) deliver(ctx context.Context, s *session, r *reply) *outcome.Error {
	if err := s.start(r.head); err != nil {
		return err
	}
	if len(r.data) > 0 {
		if err := s.frame(answer.Frame{Offset: s.bytes, Data: r.data}); err != nil {
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
			return d.readError(ctx, err)
		}
	}
}

// isDelimited reports whether a complete body can be distinguished from a truncated one:
// the response has a length, is chunked, or has no body.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

var (
	errNotJSON              = errors.New("dispatch: the JSON document ends early")
	errIncompleteCompletion = errors.New("dispatch: the completion has no finish reason or no token count")
	errNotCompletion        = errors.New("dispatch: the response is not a completion")
)

// checkDocument rejects a chunked JSON response that is not a complete document. An
// endpoint that fails midway may still terminate the chunked encoding properly, so the
// response is complete at the HTTP level.
func checkDocument(resp *http.Response, body []byte) error {
	if resp.ContentLength >= 0 || len(body) == 0 || !isJSON(resp) || json.Valid(body) {
		return nil
	}
	return errNotJSON
}

func isJSON(resp *http.Response) bool {
	return resp.Header.Get("Content-Encoding") == "" && mediaType(resp.Header) == "application/json"
}

// checkCompletion rejects a truncated completion: a replica that lost a member may close
// its response as if it were complete.
func checkCompletion(resp *http.Response, body []byte) error {
	if resp.StatusCode != http.StatusOK {
		return checkDocument(resp, body)
	}
	var a engine.ChatAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Join(errNotCompletion, err)
	}
	if len(a.Choices) == 0 || a.Choices[0].FinishReason == nil || a.Usage.CompletionTokens == 0 {
		return errIncompleteCompletion
	}
	return nil
}
