package console

import (
	"net/http"
	"net/url"
	"strings"

	"chervilloom/internal/yamlcheck"
)

// editPage shows one part's form, or the whole document as text.
type editPage struct {
	Draft    draft
	Form     form // of the part; unused for the text
	Text     bool
	Problems yamlcheck.Problems
	Parts    []part
}

// Holds reports whether the control of the value at path is on the page.
func (p editPage) Holds(path string) bool {
	for _, s := range p.Form.Sections {
		for _, f := range s.Fields {
			if path == f.Path || strings.HasPrefix(path, f.Path+"[") {
				return true
			}
		}
	}
	return false
}

// previewPage shows a valid document before it is accepted.
type previewPage struct {
	Draft   draft
	Changes []change
	Same    bool // not a byte differs from the base
	Parts   []part
}

// editForm starts an edit from the revision in force.
func (c *console) editForm(w http.ResponseWriter, r *http.Request, s session) {
	v := c.fleet.Config()
	d := draft{Base: v.Revision, Text: v.Document}
	key := r.PathValue("part")
	if key == textPart {
		c.showText(w, s, http.StatusOK, d, nil)
		return
	}
	p, ok := partOf(key)
	if !ok {
		c.fail(w, s, http.StatusNotFound, "The document has no part with this name. Choose one from the menu.")
		return
	}
	if d.Base == 0 {
		c.showText(w, s, http.StatusOK, draft{Text: firstDocument}, nil)
		return
	}
	doc := check(d.Text)
	if !doc.decodable {
		c.showText(w, s, http.StatusOK, d, doc.problems)
		return
	}
	c.showForm(w, s, http.StatusOK, d, p, valuesOf(p.Key, doc.document), nil)
}

// firstDocument is where the first operator of a deployment starts.
const firstDocument = `version: 1
organisations: []
models: []
groups: []
objective:
  downtime_weight: 1
  stranding_weight: 1
`

func (c *console) showForm(w http.ResponseWriter, s session, status int, d draft, p part, values url.Values, ps yamlcheck.Problems) {
	c.render(w, status, "edit", view{Title: p.Title, Data: editPage{
		Draft: d, Form: newForm(p, values, ps), Problems: ps, Parts: parts,
	}}.in(s))
}

func (c *console) showText(w http.ResponseWriter, s session, status int, d draft, ps yamlcheck.Problems) {
	c.render(w, status, "edit", view{Title: "Whole document", Data: editPage{
		Draft: d, Text: true, Problems: ps, Parts: parts,
	}}.in(s))
}

// goPreview is the value of the button that checks and previews; the other
// buttons carry the part to show next.
const goPreview = "preview"

// edit takes what was written into one part and shows the next part or the
// preview.
func (c *console) edit(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	if err != nil {
		c.fail(w, s, http.StatusBadRequest, "The form names no base revision. Open the form again from the menu.")
		return
	}
	next := r.PostForm.Get("go")
	p, isPart := partOf(r.PostForm.Get("part"))
	if !isPart {
		c.proceed(w, r, s, d, next)
		return
	}
	before := check(d.Text)
	if !before.decodable {
		c.showText(w, s, http.StatusUnprocessableEntity, d, before.problems)
		return
	}
	values := tidy(p, r.PostForm)
	text, err := apply(p, values, before.document)
	if err != nil {
		c.fail(w, s, http.StatusInternalServerError, "The document cannot be written: "+err.Error()+". Edit the whole document as text.")
		return
	}
	after := check(text)
	stay := next == goPreview && len(after.problems) > 0
	if after.decodable {
		d.Text = text
	} else if next != textPart {
		stay = true
	}
	if stay {
		c.showForm(w, s, http.StatusUnprocessableEntity, d, p, values, after.problems)
		return
	}
	c.proceed(w, r, s, draft{Base: d.Base, Text: text}, next)
}

// proceed shows the draft as next asks.
func (c *console) proceed(w http.ResponseWriter, r *http.Request, s session, d draft, next string) {
	doc := check(d.Text)
	p, isPart := partOf(next)
	switch {
	case isPart && doc.decodable:
		c.showForm(w, s, http.StatusOK, d, p, valuesOf(p.Key, doc.document), doc.problems)
	case next == goPreview && len(doc.problems) == 0:
		c.preview(w, r, s, d)
	case next == textPart:
		c.showText(w, s, http.StatusOK, d, doc.problems)
	default:
		c.showText(w, s, http.StatusUnprocessableEntity, d, doc.problems)
	}
}

// preview shows what a valid draft changes. When another operator was first
// meanwhile, that is shown instead: the draft would be refused.
func (c *console) preview(w http.ResponseWriter, r *http.Request, s session, d draft) {
	if now := c.fleet.Config(); now.Revision > d.Base {
		c.conflict(w, r, s, d, now.Revision, "")
		return
	}
	base, err := c.at(r.Context(), d.Base)
	if err != nil {
		c.fail(w, s, http.StatusServiceUnavailable, "Revision "+number(d.Base)+" cannot be read to compare with it: "+err.Error()+". Nothing changed. Go back and try again.")
		return
	}
	c.render(w, http.StatusOK, "preview", view{Title: "Preview", Data: previewPage{
		Draft: d, Changes: diff(base.document, check(d.Text).document), Same: d.Text == base.text, Parts: parts,
	}}.in(s))
}
