// Package explain keeps the newest decisions of a node with their reasons, so
// that an operator can ask what was decided about a request, a group, a duty or
// a node, on which facts, and how old those facts were.
package explain

import (
	"sync"
	"time"
)

// Fact is one input of a decision.
type Fact struct {
	Name  string        `json:"name"`
	Value string        `json:"value"`
	Age   time.Duration `json:"age,omitempty"` // how old the fact was when it was used
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

// Recorder takes steps. It never blocks for long.
type Recorder interface {
	Note(Step)
}

// Store keeps the newest steps, bounded in subjects and in steps per subject.
// The oldest subject is forgotten first.
type Store struct {
	mu       sync.Mutex
	node     string
	now      func() time.Time
	subjects int
	perEach  int
	order    []string // subjects in order of first step; a ring
	next     int
	steps    map[string][]Step
}

// NewStore returns a store for the node that keeps the newest perEach steps of
// each of the newest subjects.
func NewStore(node string, subjects, perEach int) *Store {
	return &Store{
		node: node, now: time.Now, subjects: subjects, perEach: perEach,
		order: make([]string, subjects), steps: make(map[string][]Step, subjects),
	}
}

// Note adds a step. At and Node are filled in when empty.
func (s *Store) Note(st Step) {
	if st.At.IsZero() {
		st.At = s.now()
	}
	if st.Node == "" {
		st.Node = s.node
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.steps[st.Subject]
	if !known {
		s.makeRoom(st.Subject)
	}
	if len(old) >= s.perEach {
		old = append(old[:0], old[1:]...)
	}
	s.steps[st.Subject] = append(old, st)
}

func (s *Store) makeRoom(subject string) {
	if gone := s.order[s.next]; gone != "" {
		delete(s.steps, gone)
	}
	s.order[s.next] = subject
	s.next = (s.next + 1) % s.subjects
}

// Steps returns the kept steps of the subject, oldest first.
func (s *Store) Steps(subject string) []Step {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Step(nil), s.steps[subject]...)
}
