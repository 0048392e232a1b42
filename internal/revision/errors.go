package revision

import (
	"errors"
	"fmt"

	"chervilloom/internal/config"
)

// Conflict tells an author that another revision came first. Nothing changed.
type Conflict struct {
	Base    uint64          // number that the author started from
	Current Stamp           // revision in the table
	Author  string          // of the current revision
	Changes []config.Change // from the author's base to the current revision
}

// Error names the revision that came first and the remedy.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d by %q came first (%d changes since revision %d); not accepted: look at the changes and apply yours to revision %d",
		c.Current.Number, c.Author, len(c.Changes), c.Base, c.Current.Number)
}

// Ambiguous tells an author that it is not known whether the revision was
// accepted: the answer to the write was lost and the table cannot be read.
type Ambiguous struct {
	Stamp   Stamp  // that the revision has if it was accepted
	Attempt string // stands in the revision's row if it was accepted
	Cause   error
}

// Error says where to look.
func (a *Ambiguous) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was accepted: %v; look in the history for attempt %s before applying it again",
		a.Stamp.Number, a.Cause, a.Attempt)
}

// Unwrap returns the cause.
func (a *Ambiguous) Unwrap() error { return a.Cause }

// Refused tells an author that the revision was not accepted, and why.
type Refused struct {
	Reason string
	Remedy string
	Cause  error
}

// Error returns reason, remedy and cause.
func (r *Refused) Error() string {
	s := "not accepted: " + r.Reason + "; " + r.Remedy
	if r.Cause != nil {
		s += ": " + r.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (r *Refused) Unwrap() error { return r.Cause }

// ErrNoRevision means that the revision with that number is not in the table.
var ErrNoRevision = errors.New("revision: no such revision; take a number from the history")

func platformDown(err error) error {
	return &Refused{Reason: "the platform's table cannot be reached", Remedy: "nothing changed, try again when it is back", Cause: err}
}
