package dispatch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
)

// session is the state of one request over all its tries. It is the only user of the
// writer and calls Start and Finish at most once.
type session struct {
	req           *request.Request
	w             answer.Writer
	tried         []route.TriedDestination
	tries         int
	noDestination bool
	ran           outcome.Outcome // worst outcome of the tries so far
	last          *outcome.Error  // of the latest failed try
	started       bool
	stream        bool   // the response that started is a stream
	callerGone    bool   // a write to the caller failed
	nextOffset    uint64 // offset of the next event of a stream
	frames        uint64
	bytes         uint64
	hash          *xxhash.Digest
	watched       *watchedAnswer // entry in lossGuard, during a try at a group
	lastEventID   string         // ID of the last event forwarded
}

func newSession(req *request.Request, w answer.Writer) *session {
	return &session{req: req, w: w, ran: outcome.NotRun, hash: xxhash.New()}
}

// start starts the response unless it has started.
func (s *session) start(h answer.Head) *outcome.Error {
	if s.started {
		return nil
	}
	s.started, s.stream = true, h.Stream
	if s.watched != nil {
		s.watched.started.Store(true)
	}
	if err := s.w.Start(h); err != nil {
		s.callerGone = true
		return callerGoneError(outcome.Ran).WithCause(err)
	}
	return nil
}

// frame forwards a frame. It drops stream events that were already forwarded, and an
// event that does not follow the last one ends the response: this is the last check
// against lost or duplicate tokens, whichever component caused them.
func (s *session) frame(f answer.Frame) *outcome.Error {
	if s.stream {
		if f.Offset < s.nextOffset {
			return nil
		}
		if f.Offset > s.nextOffset {
			return answerCutError("a part of the stream is missing", nil)
		}
		s.nextOffset++
	}
	s.frames++
	s.bytes += uint64(len(f.Data))
	s.hash.Write(f.Data)
	if f.ID != "" {
		s.lastEventID = f.ID
	}
	if err := s.w.Frame(f); err != nil {
		s.callerGone = true
		return callerGoneError(outcome.Ran).WithCause(err)
	}
	return nil
}

// finish ends the response; a nil error marks it as complete.
func (s *session) finish(err *outcome.Error) {
	s.w.Finish(answer.End{
		Complete: err == nil,
		Frames:   s.frames,
		Bytes:    s.bytes,
		Hash:     s.hash.Sum64(),
		Error:    err,
	})
}

// recordFailure records the outcome of a failed try; nil is ignored.
func (s *session) recordFailure(err *outcome.Error) {
	if err != nil {
		s.ran = worseOutcome(s.ran, err.Outcome)
		s.last = err
	}
}

// noDestinationError returns the error for a request without a destination left. If an
// earlier try may have run, it is the error of the last try: "no capacity" would imply
// that the request did not run.
func (s *session) noDestinationError(none *outcome.Error) *outcome.Error {
	if s.ran == outcome.NotRun {
		return none
	}
	return s.last.WithRetryAfter(max(s.last.RetryAfter, none.RetryAfter))
}

// withWorstOutcome returns err with the combined outcome of all tries: a last try that
// did not run does not cancel an earlier one that may have.
func (s *session) withWorstOutcome(err *outcome.Error) *outcome.Error {
	o := worseOutcome(s.ran, err.Outcome)
	if o == err.Outcome {
		return err
	}
	c := *err
	c.Outcome = o
	return &c
}

func (s *session) retryInput(ctx context.Context, err *outcome.Error, maxTries int, timeLeft time.Duration) retryInput {
	return retryInput{
		timeLeft: timeLeft,

		tries: s.tries, maxTries: maxTries, err: err,
		idempotent: s.req.Idempotent, started: s.started, noDestination: s.noDestination,
		ended: s.callerGone || ctx.Err() != nil,
	}
}
