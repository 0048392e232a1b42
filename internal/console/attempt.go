package console

import (
	"net/http"
	"strconv"
	"strings"

	"chervilloom/internal/operator"
)

// try is a write whose answer was lost.
type try struct {
	Number  uint64 // that the revision has if it was accepted
	Attempt string // stands in the history then
}

// String returns the try as forms carry it.
func (t try) String() string { return number(t.Number) + "/" + t.Attempt }

// readTries returns the tries in a form whose fate was open when it was shown.
func readTries(r *http.Request) []try {
	var out []try
	for _, v := range r.PostForm["attempt"] {
		n, attempt, _ := strings.Cut(v, "/")
		if parsed, err := strconv.ParseUint(n, 10, 64); err == nil && attempt != "" {
			out = append(out, try{parsed, attempt})
		}
	}
	return out
}

// withUnknown adds the try that res tells of when its fate is open too.
func withUnknown(earlier []try, res operator.ApplyResult) []try {
	if res.State != operator.ApplyUnknown {
		return earlier
	}
	return append(earlier, try{res.Revision, res.Attempt})
}

// unknownPage tells of tries whose answers were lost.
type unknownPage struct {
	Draft   draft
	Tries   []try
	Message string
}

func (c *console) unknown(w http.ResponseWriter, s session, p unknownPage) {
	c.render(w, http.StatusAccepted, "unknown", view{Title: "Not known yet", Data: p}.in(s))
}

// fate is what the history tells about tries.
type fate string

const (
	fateOpen        fate = "open" // a write may have landed, or may land yet
	fateAccepted    fate = "accepted"
	fateNotAccepted fate = "not accepted"
)

// fateOf reads the fate of a try from the history. Only its own row proves that
// it was accepted; only another attempt's row under its number proves that it
// was not and can't be any more, because the write demands that the number is
// free. A history that ends below the number proves nothing: the write may be on
// its way still.
func fateOf(history []operator.Revision, t try) fate {
	for _, r := range history {
		switch {
		case r.Attempt != "" && r.Attempt == t.Attempt:
			return fateAccepted
		case r.Number == t.Number && r.Attempt != "":
			return fateNotAccepted
		}
	}
	return fateOpen
}

// fateOfAll returns the try that was accepted, if one was. At most one can be:
// all started from one base.
func fateOfAll(history []operator.Revision, tries []try) (fate, try) {
	out := fateNotAccepted
	for _, t := range tries {
		switch fateOf(history, t) {
		case fateAccepted:
			return fateAccepted, t
		case fateOpen:
			out = fateOpen
		}
	}
	return out, try{}
}

// attempt looks again for what became of tries.
func (c *console) attempt(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	tries := readTries(r)
	if err != nil || len(tries) == 0 {
		c.fail(w, s, http.StatusBadRequest, "The form names no attempt. Look in the history.")
		return
	}
	c.settle(w, r, s, unknownPage{Draft: d, Tries: tries})
}

// settle shows what became of tries as far as the history proves it. A later
// try's refusal says nothing about an earlier one, so it ends here as well.
func (c *console) settle(w http.ResponseWriter, r *http.Request, s session, p unknownPage) {
	h, err := c.fleet.History(r.Context())
	if err != nil {
		p.Message = "The platform's table cannot be read: " + err.Error()
		c.unknown(w, s, p)
		return
	}
	switch f, t := fateOfAll(h, p.Tries); f {
	case fateAccepted:
		http.Redirect(w, r, root+"revisions/"+number(t.Number), http.StatusSeeOther)
	case fateNotAccepted:
		c.conflict(w, r, s, p.Draft, h[0].Number, "It is known now: its number went to another revision.")
	default:
		if p.Message == "" {
			p.Message = "The history can be read and does not show the revision; the write may be on its way still."
		}
		c.unknown(w, s, p)
	}
}
