package console

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/operator"
)

// acceptTimeout exceeds the time that a node needs to find out whether a write
// succeeded.
const acceptTimeout = 30 * time.Second

// detachContext returns a context that outlives the browser's connection, so that
// an acceptance in progress is completed and logged.
func detachContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
}

func (c *console) accept(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	if err != nil {
		c.showError(w, s, http.StatusBadRequest, "The form names no base revision. Nothing was done. Open the form again from the menu.")
		return
	}
	ctx, cancel := detachContext(r.Context())
	defer cancel()
	res := c.fleet.Apply(ctx, operator.ApplyRequest{Base: d.Base, Document: d.Text}, s.operator)
	c.log.Info("configuration apply finished", "operator", s.operator, "base", d.Base,
		"state", res.State, "revision", res.Revision, "message", res.Message)
	if earlier := readUnconfirmedWrites(r); len(earlier) > 0 && res.State != operator.ApplyAccepted {
		c.showWriteState(w, r, s, unknownPage{Draft: d, Tries: appendUnknown(earlier, res), Message: res.Message})
		return
	}
	c.showResult(w, r, s, d, res)
}

// showResult shows the result of an attempt to accept the draft. Every page
// except that of success contains the draft, so that no input is lost.
func (c *console) showResult(w http.ResponseWriter, r *http.Request, s session, d draft, res operator.ApplyResult) {
	switch res.State {
	case operator.ApplyAccepted:
		http.Redirect(w, r, rootPath+"revisions/"+formatNumber(res.Revision), http.StatusSeeOther)
	case operator.ApplyInvalid:
		c.showInvalid(w, s, d, res)
	case operator.ApplyConflict:
		c.showConflict(w, r, s, d, res.Revision, "")
	case operator.ApplyUnknown:
		c.showUnknown(w, s, unknownPage{Draft: d, Tries: appendUnknown(nil, res), Message: res.Message})
	default:
		c.render(w, http.StatusServiceUnavailable, "refused", pageView{
			Title: "Not accepted, nothing changed", Data: refusedPage{Draft: d, Message: res.Message},
		}.withSession(s))
	}
}

type refusedPage struct {
	Draft   draft
	Message string
}

// showInvalid shows the problems that this node finds in the draft. If it finds
// none, it shows those in res, whose check was stricter.
func (c *console) showInvalid(w http.ResponseWriter, s session, d draft, res operator.ApplyResult) {
	problems := checkDocument(d.Text).problems
	if len(problems) == 0 {
		for _, p := range res.Problems {
			problems = append(problems, problemsOf(errorText(p))...)
		}
	}
	c.showText(w, s, http.StatusUnprocessableEntity, d, problems)
}

type errorText string

func (e errorText) Error() string { return string(e) }

// conflictPage shows that another operator's revision was accepted first.
type conflictPage struct {
	Draft   draft
	Current uint64
	Author  string
	Message string
	Theirs  []change // other operators' changes since the draft's base
	Mine    []change
	Unread  string          // reason if the changes cannot be shown
	Clashes []mergeConflict // not empty: conflicts to resolve
}

func (c *console) showConflict(w http.ResponseWriter, r *http.Request, s session, d draft, current uint64, message string) {
	p := conflictPage{Draft: d, Current: current, Message: message}
	if rec := c.historyEntry(r.Context(), current); rec != nil {
		p.Author = rec.Author
	}
	if docs, err := c.loadMergeInputs(r.Context(), d, current); err != nil {
		p.Unread = err.Error()
	} else {
		p.Theirs, p.Mine = diff(docs.base, docs.current), diff(docs.base, docs.own)
	}
	c.render(w, http.StatusConflict, "conflict", pageView{Title: "Another operator was first", Data: p}.withSession(s))
}

// mergeInputs are the documents of a three-way merge.
type mergeInputs struct{ base, own, current *config.Document }

func (c *console) loadMergeInputs(ctx context.Context, d draft, current uint64) (mergeInputs, error) {
	base, err := c.loadRevision(ctx, d.Base)
	if err != nil {
		return mergeInputs{}, err
	}
	now, err := c.loadRevision(ctx, current)
	if err != nil {
		return mergeInputs{}, err
	}
	own, err := config.Parse("", []byte(d.Text))
	return mergeInputs{base.document, own, now.document}, err
}

// rebase applies the draft's changes to the current revision and shows the
// preview, or the conflicts if both operators changed the same value.
func (c *console) rebase(w http.ResponseWriter, r *http.Request, s session) {
	d, errBase := readDraft(r)
	onto, errOnto := strconv.ParseUint(r.PostForm.Get("onto"), 10, 64)
	if errBase != nil || errOnto != nil {
		c.showError(w, s, http.StatusBadRequest, "The form names no revision. Open the form again from the menu.")
		return
	}
	docs, err := c.loadMergeInputs(r.Context(), d, onto)
	if err != nil {
		c.showConflict(w, r, s, d, onto, "Your changes cannot be applied onto revision "+formatNumber(onto)+" now: "+err.Error())
		return
	}
	res := merge(docs.base, docs.own, docs.current, func(path string) side {
		return parseSide(r.PostForm.Get("choice:" + path))
	})
	if res.hasUnresolved() {
		c.render(w, http.StatusConflict, "conflict", pageView{Title: "Decide what stands", Data: conflictPage{
			Draft: d, Current: onto, Clashes: res.Clashes,
		}}.withSession(s))
		return
	}
	text, err := config.Marshal(res.Document)
	if err != nil {
		c.showError(w, s, http.StatusInternalServerError, "The document cannot be written: "+err.Error()+". Edit the whole document as text.")
		return
	}
	c.showNext(w, r, s, draft{Base: onto, Text: string(text)}, previewAction)
}

func parseSide(v string) side {
	if s := side(v); s == sideMine || s == sideTheirs {
		return s
	}
	return ""
}
