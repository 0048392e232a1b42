// Package fault breaks an endpoint's connections at chosen stages of a request.
// The stand-ins of engines and plain services share it.
package fault

import (
	"io"
	"net/http"
	"sync"
)

// Always makes a counting fault hit every request.
const Always = -1

// Bounds.
const (
	maxBody       = 64 << 20
	maxKnownConns = 4096
)

// Stages counts the next requests that each fault hits: 0 none, Always all. A
// closed connection gives the caller no answer; only the stand-in's count of
// executions knows whether the request ran.
type Stages struct {
	DropBeforeBody  int `json:"drop_before_body" yaml:"drop_before_body"`   // close without reading the body; not run
	DropHalfBody    int `json:"drop_half_body" yaml:"drop_half_body"`       // close after half the body; not run
	DropAfterBody   int `json:"drop_after_body" yaml:"drop_after_body"`     // close after the whole body; not run
	DropAfterRun    int `json:"drop_after_run" yaml:"drop_after_run"`       // run, then close without an answer
	CutAnswer       int `json:"cut_answer" yaml:"cut_answer"`               // run, send half the answer, then reset
	CutAnswerClean  int `json:"cut_answer_clean" yaml:"cut_answer_clean"`   // run, send half the answer, then end as if whole
	DropReused      int `json:"drop_reused" yaml:"drop_reused"`             // close a reused connection at its next request; not run
	DropReusedAfter int `json:"drop_reused_after" yaml:"drop_reused_after"` // on a reused connection: run, then close without an answer
	RefuseNotRun    int `json:"refuse_not_run" yaml:"refuse_not_run"`       // 503 that promises that nothing ran
	FailAfterRun    int `json:"fail_after_run" yaml:"fail_after_run"`       // run, then answer 500
}

// Stage is where the connection breaks for one request.
type Stage int

// The stages.
const (
	None Stage = iota
	BeforeBody
	HalfBody
	AfterBody
	AfterRun
	HalfAnswer
	HalfAnswerClean
	Refuse
	Fail
)

// Switch holds the faults of one endpoint. It is safe for concurrent use.
type Switch struct {
	mu     sync.Mutex
	stages Stages
	conns  map[string]struct{} // remote addresses that sent a request before
}

// Set replaces the faults.
func (s *Switch) Set(f Stages) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stages = f
}

// Get returns the faults with what is left of their counts.
func (s *Switch) Get() Stages {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stages
}

// Next uses up one hit and returns the stage at which r's connection breaks.
func (s *Switch) Next(r *http.Request) Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	reused := s.seen(r.RemoteAddr)
	f := &s.stages
	switch {
	case reused && Take(&f.DropReused):
		return BeforeBody
	case reused && Take(&f.DropReusedAfter):
		return AfterRun
	case Take(&f.DropBeforeBody):
		return BeforeBody
	case Take(&f.DropHalfBody):
		return HalfBody
	case Take(&f.DropAfterBody):
		return AfterBody
	case Take(&f.DropAfterRun):
		return AfterRun
	case Take(&f.CutAnswer):
		return HalfAnswer
	case Take(&f.CutAnswerClean):
		return HalfAnswerClean
	case Take(&f.RefuseNotRun):
		return Refuse
	case Take(&f.FailAfterRun):
		return Fail
	default:
		return None
	}
}

// seen reports whether the connection carried a request before.
func (s *Switch) seen(remote string) bool {
	if _, ok := s.conns[remote]; ok {
		return true
	}
	if s.conns == nil || len(s.conns) >= maxKnownConns {
		s.conns = make(map[string]struct{})
	}
	s.conns[remote] = struct{}{}
	return false
}

// Take uses up one hit of a counting fault and reports whether there was one.
func Take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// Abort closes the connection of the request that is being served.
func Abort() { panic(http.ErrAbortHandler) }

// ReadBody reads r's body as far as the stage lets it, and does not return when
// the connection breaks on the way.
func ReadBody(r *http.Request, at Stage) ([]byte, error) {
	switch at {
	case BeforeBody:
		Abort()
	case HalfBody:
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		Abort()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if at == AfterBody {
		Abort()
	}
	return body, err
}
