// Package explain records a node's latest decisions about requests, groups, duties
// and nodes, for operators to query. Each record has the reason for the decision,
// the facts it was based on, and their age.
package explain

import (
	"sync"
	"time"
)

// Fact is one input to a decision.
type Fact struct {
	Name  string        `json:"name"`
	Value string        `json:"value"`
	Age   time.Duration `json:"age,omitempty"` // at the time of the decision
}

// Step is one decision about a subject.
type Step struct {
	At       time.Time `json:"at"`
	Node     string    `json:"node"`
	Subject  string    `json:"subject"` // request id, group id, duty, VM or node
	Stage    string    `json:"stage"`   // the filter or duty that decided
	Decision string    `json:"decision"`
	Reason   string    `json:"reason"`
	Facts    []Fact    `json:"facts,omitempty"`
}

// Recorder records steps. Implementations must not block for long, since steps are
// recorded while requests are handled.
type Recorder interface {
	Record(Step)
}

// Store is an in-memory Recorder with limits on the number of subjects and of steps
// per subject. It evicts the subject that was added first, and the oldest step of a
// subject.
type Store struct {
	mu              sync.Mutex
	node            string
	now             func() time.Time
	maxSubjects     int
	stepsPerSubject int
	order           []string // ring buffer of the subjects in order of their first step
	next            int      // index into order of the next write
	steps           map[string][]Step
}

// NewStore returns a store for the node that keeps at most the given number of
// subjects and the newest stepsPerSubject steps of each.
func NewStore(node string, maxSubjects, stepsPerSubject int) *Store {
	return &Store{
		node: node, now: time.Now, maxSubjects: maxSubjects, stepsPerSubject: stepsPerSubject,
		order: make([]string, maxSubjects), steps: make(map[string][]Step, maxSubjects),
	}
}

// Record adds a step. At and Node default to the current time and the store's node.
func (s *Store) Record(st Step) {
	if st.At.IsZero() {
		st.At = s.now()
	}
	if st.Node == "" {
		st.Node = s.node
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	recorded, known := s.steps[st.Subject]
	if !known {
		s.addSubject(st.Subject)
	}
	if len(recorded) >= s.stepsPerSubject {
		recorded = append(recorded[:0], recorded[1:]...)
	}
	s.steps[st.Subject] = append(recorded, st)
}

// addSubject adds a subject to the ring buffer and evicts the oldest one if it is
// full.
func (s *Store) addSubject(subject string) {
	if evicted := s.order[s.next]; evicted != "" {
		delete(s.steps, evicted)
	}
	s.order[s.next] = subject
	s.next = (s.next + 1) % s.maxSubjects
}

// Steps returns the kept steps of the subject, oldest first.
func (s *Store) Steps(subject string) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Step(nil), s.steps[subject]...)
}
