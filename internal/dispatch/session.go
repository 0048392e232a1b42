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

// session is one request on its way through any number of tries. It alone
// touches the writer: Start once, Finish once.
type session struct {
	req       *request.Request
	w         answer.Writer
	tried     []route.Tried
	tries     int
	exhausted bool
	ran       outcome.Outcome // worst outcome of the tries so far
	last      *outcome.Error  // of the newest failed try
	begun     bool
	stream    bool   // the answer that began is a stream
	gone      bool   // whoever is behind the writer has left
	next      uint64 // offset of the next event of a stream
	frames    uint64
	bytes     uint64
	hash      *xxhash.Digest
	wait      *wait  // of the guard, during a try at a group
	lastID    string // event id of the last event passed on
}

func newSession(req *request.Request, w answer.Writer) *session {
	return &session{req: req, w: w, ran: outcome.NotRun, hash: xxhash.New()}
}

// start opens the answer unless it is open already.
func (s *session) start(h answer.Head) *outcome.Error {
	if s.begun {
		return nil
	}
	s.begun, s.stream = true, h.Stream
	if s.wait != nil {
		s.wait.begun.Store(true)
	}
	if err := s.w.Start(h); err != nil {
		s.gone = true
		return callerGone(outcome.Ran).WithCause(err)
	}
	return nil
}

// frame passes on a piece. Events that were passed on before are dropped, and
// one that does not follow the last ends the answer: this is the last place
// where a lost or doubled token can be stopped, whoever sent it.
func (s *session) frame(f answer.Frame) *outcome.Error {
	if s.stream {
		if f.Offset < s.next {
			return nil
		}
		if f.Offset > s.next {
			return answerCut("a part of the stream is missing", nil)
		}
		s.next++
	}
	s.frames++
	s.bytes += uint64(len(f.Data))
	s.hash.Write(f.Data)
	if f.ID != "" {
		s.lastID = f.ID
	}
	if err := s.w.Frame(f); err != nil {
		s.gone = true
		return callerGone(outcome.Ran).WithCause(err)
	}
	return nil
}

// finish closes the answer; a nil error means that it is whole.
func (s *session) finish(err *outcome.Error) {
	s.w.Finish(answer.End{
		Whole:  err == nil,
		Frames: s.frames,
		Bytes:  s.bytes,
		Hash:   s.hash.Sum64(),
		Error:  err,
	})
}

// add takes the outcome of a failed try into account.
func (s *session) add(err *outcome.Error) {
	if err != nil {
		s.ran = worse(s.ran, err.Outcome)
		s.last = err
	}
}

// nothingLeft returns what is told when the router has no more to offer. A
// request that may have run is told by its last try: "no capacity" would sound
// as if it had not.
func (s *session) nothingLeft(none *outcome.Error) *outcome.Error {
	if s.ran == outcome.NotRun {
		return none
	}
	return s.last.After(max(s.last.RetryAfter, none.RetryAfter))
}

// told returns err with the outcome of all tries together: a last try that did
// not run does not undo an earlier one that may have.
func (s *session) told(err *outcome.Error) *outcome.Error {
	o := worse(s.ran, err.Outcome)
	if o == err.Outcome {
		return err
	}
	c := *err
	c.Outcome = o
	return &c
}

func (s *session) facts(ctx context.Context, err *outcome.Error, maxTries int, left time.Duration) facts {
	return facts{
		left: left,

		tries: s.tries, maxTries: maxTries, err: err,
		idempotent: s.req.Idempotent, begun: s.begun, exhausted: s.exhausted,
		over: s.gone || ctx.Err() != nil,
	}
}
