package revision

import (
	"errors"
	"fmt"

	"chervilloom/internal/config"
)

// Conflict means that another revision was accepted first. Nothing changed.
type Conflict struct {
	Base    uint64          // number of the author's base revision
	Current Stamp           // highest revision in the table
	Author  string          // author of the current revision
	Changes []config.Change // from the author's base to the current revision
}

// Error returns the revision that was accepted first and the remedy.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d by %q came first (%d changes since revision %d); not accepted: look at the changes and apply yours to revision %d",
		c.Current.Number, c.Author, len(c.Changes), c.Base, c.Current.Number)
}

// Ambiguous means that it is unknown whether the revision was accepted: the
// answer to the write was lost and the table cannot be read.
type Ambiguous struct {
	Stamp   Stamp  // stamp of the revision if it was accepted
	Attempt string // attempt recorded in the revision's row if it was accepted
	Cause   error
}

// Error returns the cause and the attempt to look for in the history.
func (a *Ambiguous) Error() string {
	return fmt.Sprintf("it is not known whether revision %d was accepted: %v; look in the history for attempt %s before applying it again",
		a.Stamp.Number, a.Cause, a.Attempt)
}

// Unwrap returns the cause.
func (a *Ambiguous) Unwrap() error { return a.Cause }

// Refused means that the revision was not accepted, with the reason and a
// remedy.
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

// ErrNoRevision means that the table contains no revision with the given
// number.
var ErrNoRevision = errors.New("revision: no such revision; take a number from the history")

func platformDownError(err error) error {
	return &Refused{Reason: "the platform's table cannot be reached", Remedy: "nothing changed, try again when it is back", Cause: err}
}
