// Package fault injects connection faults into an endpoint at chosen stages of a
// request. The stand-ins for engines and plain services share it.
package fault

import (
	"io"
	"net/http"
	"sync"
)

// Always as the count of a fault applies it to every request.
const Always = -1

// Limits of a request body, in bytes, and of the connections that an Injector records.
const (
	maxBody      = 64 << 20
	maxUsedConns = 4096
)

// Stages is, for each fault, the number of following requests that it applies to: 0
// for none, Always for all. A caller whose connection is closed gets no answer; only
// the stand-in's execution count shows whether the request ran.
type Stages struct {
	DropBeforeBody  int `json:"drop_before_body" yaml:"drop_before_body"`   // close without reading the body; not run
	DropHalfBody    int `json:"drop_half_body" yaml:"drop_half_body"`       // close after half the body; not run
	DropAfterBody   int `json:"drop_after_body" yaml:"drop_after_body"`     // close after the complete body; not run
	DropAfterRun    int `json:"drop_after_run" yaml:"drop_after_run"`       // run, then close without an answer
	CutAnswer       int `json:"cut_answer" yaml:"cut_answer"`               // run, send half the answer, then reset
	CutAnswerClean  int `json:"cut_answer_clean" yaml:"cut_answer_clean"`   // run, send half the answer, then end the response regularly
	DropReused      int `json:"drop_reused" yaml:"drop_reused"`             // close a reused connection at its next request; not run
	DropReusedAfter int `json:"drop_reused_after" yaml:"drop_reused_after"` // on a reused connection: run, then close without an answer
	RefuseNotRun    int `json:"refuse_not_run" yaml:"refuse_not_run"`       // answer 503 with the not-run header; not run
	FailAfterRun    int `json:"fail_after_run" yaml:"fail_after_run"`       // run, then answer 500
}

// Stage is the stage of one request at which its fault applies.
type Stage int

// The stages, as described for the fields of Stages.
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

// Injector contains the faults of one endpoint and selects the one for each request. It is
// safe for concurrent use.
type Injector struct {
	mu        sync.Mutex
	stages    Stages
	usedConns map[string]struct{} // remote addresses of connections that carried a request
}

// Set replaces the faults.
func (s *Injector) Set(f Stages) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stages = f
}

// Get returns the faults with their remaining counts.
func (s *Injector) Get() Stages {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stages
}

// Next returns the stage at which a fault applies to r, and decrements that fault's
// count. Faults of reused connections come first, then the order of Stages.
func (s *Injector) Next(r *http.Request) Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	reused := s.recordConn(r.RemoteAddr)
	f := &s.stages
	switch {
	case reused && ConsumeCount(&f.DropReused):
		return BeforeBody
	case reused && ConsumeCount(&f.DropReusedAfter):
		return AfterRun
	case ConsumeCount(&f.DropBeforeBody):
		return BeforeBody
	case ConsumeCount(&f.DropHalfBody):
		return HalfBody
	case ConsumeCount(&f.DropAfterBody):
		return AfterBody
	case ConsumeCount(&f.DropAfterRun):
		return AfterRun
	case ConsumeCount(&f.CutAnswer):
		return HalfAnswer
	case ConsumeCount(&f.CutAnswerClean):
		return HalfAnswerClean
	case ConsumeCount(&f.RefuseNotRun):
		return Refuse
	case ConsumeCount(&f.FailAfterRun):
		return Fail
	default:
		return None
	}
}

// recordConn records the connection and reports whether it carried a request before. The
// record is cleared when it reaches maxUsedConns.
func (s *Injector) recordConn(remote string) bool {
	if _, ok := s.usedConns[remote]; ok {
		return true
	}
	if s.usedConns == nil || len(s.usedConns) >= maxUsedConns {
		s.usedConns = make(map[string]struct{})
	}
	s.usedConns[remote] = struct{}{}
	return false
}

// ConsumeCount reports whether the fault with count n applies, and decrements n unless it is
// Always.
func ConsumeCount(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// Abort closes the connection of the request that is being served, by a panic that
// net/http recovers. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// ReadBody returns r's body. It does not return if the fault at the given stage closes
// the connection before, during or after reading.
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
