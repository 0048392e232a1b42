package console

import (
	"net/http"
	"strconv"
	"strings"

	"chervilloom/internal/operator"
)

// unconfirmedWrite is a write whose answer was lost.
type unconfirmedWrite struct {
	Number  uint64 // revision number if the write was accepted
	Attempt string // ID found in the history if the write was accepted
}

// String returns the write in the format of the forms, "number/attempt".
func (t unconfirmedWrite) String() string { return formatNumber(t.Number) + "/" + t.Attempt }

// readUnconfirmedWrites returns the writes in a form that were unconfirmed when
// the form was rendered.
func readUnconfirmedWrites(r *http.Request) []unconfirmedWrite {
	var out []unconfirmedWrite
	for _, v := range r.PostForm["attempt"] {
		n, attempt, _ := strings.Cut(v, "/")
		if parsed, err := strconv.ParseUint(n, 10, 64); err == nil && attempt != "" {
			out = append(out, unconfirmedWrite{parsed, attempt})
		}
	}
	return out
}

// appendUnknown appends the write of res if its state is unknown too.
func appendUnknown(earlier []unconfirmedWrite, res operator.ApplyResult) []unconfirmedWrite {
	if res.State != operator.ApplyUnknown {
		return earlier
	}
	return append(earlier, unconfirmedWrite{res.Revision, res.Attempt})
}

// unknownPage shows writes whose answers were lost.
type unknownPage struct {
	Draft   draft
	Tries   []unconfirmedWrite
	Message string
}

func (c *console) showUnknown(w http.ResponseWriter, s session, p unknownPage) {
	c.render(w, http.StatusAccepted, "unknown", pageView{Title: "Not known yet", Data: p}.withSession(s))
}

// writeState is the state of a write as proved by the history.
type writeState string

const (
	writePending     writeState = "open" // the write may have been applied, or may still be applied
	writeAccepted    writeState = "accepted"
	writeNotAccepted writeState = "not accepted"
)

// findWriteState returns the state of a write from the history. Only its own row
// proves that it was accepted. Only another attempt's row under its number proves
// that it was not and cannot be, because the write requires the number to be
// free. A history that ends below the number proves nothing: the write may still
// be in flight.
func findWriteState(history []operator.Revision, t unconfirmedWrite) writeState {
	for _, r := range history {
		switch {
		case r.Attempt != "" && r.Attempt == t.Attempt:
			return writeAccepted
		case r.Number == t.Number && r.Attempt != "":
			return writeNotAccepted
		}
	}
	return writePending
}

// findAcceptedWrite returns the combined state of the writes, and the accepted
// one if there is one. At most one can be accepted, because all have the same
// base.
func findAcceptedWrite(history []operator.Revision, tries []unconfirmedWrite) (writeState, unconfirmedWrite) {
	out := writeNotAccepted
	for _, t := range tries {
		switch findWriteState(history, t) {
		case writeAccepted:
			return writeAccepted, t
		case writePending:
			out = writePending
		}
	}
	return out, unconfirmedWrite{}
}

// checkAttempt looks up the state of unconfirmed writes again.
func (c *console) checkAttempt(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	tries := readUnconfirmedWrites(r)
	if err != nil || len(tries) == 0 {
		c.showError(w, s, http.StatusBadRequest, "The form names no attempt. Look in the history.")
		return
	}
	c.showWriteState(w, r, s, unknownPage{Draft: d, Tries: tries})
}

// showWriteState shows the state of the writes as far as the history proves it.
// It also serves refused retries, because a refusal says nothing about the
// earlier writes.
func (c *console) showWriteState(w http.ResponseWriter, r *http.Request, s session, p unknownPage) {
	h, err := c.fleet.History(r.Context())
	if err != nil {
		p.Message = "The platform's table cannot be read: " + err.Error()
		c.showUnknown(w, s, p)
		return
	}
	switch f, t := findAcceptedWrite(h, p.Tries); f {
	case writeAccepted:
		http.Redirect(w, r, rootPath+"revisions/"+formatNumber(t.Number), http.StatusSeeOther)
	case writeNotAccepted:
		c.showConflict(w, r, s, p.Draft, h[0].Number, "It is known now: its number went to another revision.")
	default:
		if p.Message == "" {
			p.Message = "The history can be read and does not show the revision; the write may be on its way still."
		}
		c.showUnknown(w, s, p)
	}
}
