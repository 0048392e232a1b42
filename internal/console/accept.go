package console

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

// acceptTime is longer than a node takes to find out what became of a write.
const acceptTime = 30 * time.Second

// finish returns a context that goes on when the browser leaves: an acceptance
// that was begun is followed to its end and logged.
func finish(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), acceptTime)
}

func (c *console) accept(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	if err != nil {
		c.fail(w, s, http.StatusBadRequest, "The form names no base revision. Nothing was done. Open the form again from the menu.")
		return
	}
	ctx, cancel := finish(r.Context())
	defer cancel()
	res := c.fleet.Apply(ctx, operator.ApplyRequest{Base: d.Base, Document: d.Text}, s.operator)
	c.log.Info("configuration applied", "operator", s.operator, "base", d.Base,
		"state", res.State, "revision", res.Revision, "message", res.Message)
	if earlier := readTries(r); len(earlier) > 0 && res.State != operator.ApplyAccepted {
		c.settle(w, r, s, unknownPage{Draft: d, Tries: withUnknown(earlier, res), Message: res.Message})
		return
	}
	c.outcome(w, r, s, d, res)
}

// outcome shows how an attempt to accept the draft ended. Every page but the
// one of success holds the draft, so that nothing written is lost.
func (c *console) outcome(w http.ResponseWriter, r *http.Request, s session, d draft, res operator.ApplyResult) {
	switch res.State {
	case operator.ApplyAccepted:
		http.Redirect(w, r, root+"revisions/"+number(res.Revision), http.StatusSeeOther)
	case operator.ApplyInvalid:
		c.invalid(w, s, d, res)
	case operator.ApplyConflict:
		c.conflict(w, r, s, d, res.Revision, "")
	case operator.ApplyUnknown:
		c.unknown(w, s, unknownPage{Draft: d, Tries: withUnknown(nil, res), Message: res.Message})
	default:
		c.render(w, http.StatusServiceUnavailable, "refused", view{
			Title: "Not accepted, nothing changed", Data: refusedPage{Draft: d, Message: res.Message},
		}.in(s))
	}
}

type refusedPage struct {
	Draft   draft
	Message string
}

// invalid shows the problems that this node finds, or what the accepting code
// said when it is stricter.
func (c *console) invalid(w http.ResponseWriter, s session, d draft, res operator.ApplyResult) {
	problems := check(d.Text).problems
	if len(problems) == 0 {
		for _, p := range res.Problems {
			problems = append(problems, problemsOf(errorText(p))...)
		}
	}
	c.showText(w, s, http.StatusUnprocessableEntity, d, problems)
}

type errorText string

func (e errorText) Error() string { return string(e) }

// conflictPage tells that another operator was first.
type conflictPage struct {
	Draft   draft
	Current uint64
	Author  string
	Message string
	Theirs  []change // since the draft's base
	Mine    []change
	Unread  string  // why the changes cannot be shown
	Clashes []clash // not empty: to decide
}

func (c *console) conflict(w http.ResponseWriter, r *http.Request, s session, d draft, current uint64, message string) {
	p := conflictPage{Draft: d, Current: current, Message: message}
	if rec := c.record(r.Context(), current); rec != nil {
		p.Author = rec.Author
	}
	if docs, err := c.three(r.Context(), d, current); err != nil {
		p.Unread = err.Error()
	} else {
		p.Theirs, p.Mine = diff(docs.base, docs.current), diff(docs.base, docs.own)
	}
	c.render(w, http.StatusConflict, "conflict", view{Title: "Another operator was first", Data: p}.in(s))
}

// threeDocuments are what a merge needs.
type threeDocuments struct{ base, own, current *config.Document }

func (c *console) three(ctx context.Context, d draft, current uint64) (threeDocuments, error) {
	base, err := c.at(ctx, d.Base)
	if err != nil {
		return threeDocuments{}, err
	}
	now, err := c.at(ctx, current)
	if err != nil {
		return threeDocuments{}, err
	}
	own, err := config.Parse("", []byte(d.Text))
	return threeDocuments{base.document, own, now.document}, err
}

// rebase applies the draft's own changes onto the current revision and shows
// the preview, or the values that both operators changed.
func (c *console) rebase(w http.ResponseWriter, r *http.Request, s session) {
	d, errBase := readDraft(r)
	onto, errOnto := strconv.ParseUint(r.PostForm.Get("onto"), 10, 64)
	if errBase != nil || errOnto != nil {
		c.fail(w, s, http.StatusBadRequest, "The form names no revision. Open the form again from the menu.")
		return
	}
	docs, err := c.three(r.Context(), d, onto)
	if err != nil {
		c.conflict(w, r, s, d, onto, "Your changes cannot be applied onto revision "+number(onto)+" now: "+err.Error())
		return
	}
	res := merge(docs.base, docs.own, docs.current, func(path string) side {
		return chosen(r.PostForm.Get("choice:" + path))
	})
	if res.open() {
		c.render(w, http.StatusConflict, "conflict", view{Title: "Decide what stands", Data: conflictPage{
			Draft: d, Current: onto, Clashes: res.Clashes,
		}}.in(s))
		return
	}
	text, err := config.Marshal(res.Document)
	if err != nil {
		c.fail(w, s, http.StatusInternalServerError, "The document cannot be written: "+err.Error()+". Edit the whole document as text.")
		return
	}
	c.proceed(w, r, s, draft{Base: onto, Text: string(text)}, goPreview)
}

func chosen(v string) side {
	if s := side(v); s == mine || s == theirs {
		return s
	}
	return ""
}
