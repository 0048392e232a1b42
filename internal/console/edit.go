package console

import (
	"net/http"
	"net/url"
	"strings"

	"chervilloom/internal/yamlcheck"
)

// editPage shows the form of a part, or the whole document as text.
type editPage struct {
	Draft    draft
	Form     form // form of the part; unused if Text is set
	Text     bool
	Problems yamlcheck.Problems
	Parts    []part
}

// Holds reports whether the page has a control for the value at path.
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
	Same    bool // the text equals that of the base
	Parts   []part
}

// editForm starts an edit from the revision in force.
func (c *console) editForm(w http.ResponseWriter, r *http.Request, s session) {
	v := c.fleet.Config()
	d := draft{Base: v.Revision, Text: v.Document}
	key := r.PathValue("part")
	if key == textPartKey {
		c.showText(w, s, http.StatusOK, d, nil)
		return
	}
	p, ok := findPart(key)
	if !ok {
		c.showError(w, s, http.StatusNotFound, "The document has no part with this name. Choose one from the menu.")
		return
	}
	if d.Base == 0 {
		c.showText(w, s, http.StatusOK, draft{Text: initialDocument}, nil)
		return
	}
	doc := checkDocument(d.Text)
	if !doc.decodable {
		c.showText(w, s, http.StatusOK, d, doc.problems)
		return
	}
	c.showForm(w, s, http.StatusOK, d, p, formValues(p.Key, doc.document), nil)
}

// initialDocument is the draft for a deployment without a revision.
const initialDocument = `version: 1
organisations: []
models: []
groups: []
objective:
  downtime_weight: 1
  stranding_weight: 1
`

func (c *console) showForm(w http.ResponseWriter, s session, status int, d draft, p part, values url.Values, ps yamlcheck.Problems) {
	c.render(w, status, "edit", pageView{Title: p.Title, Data: editPage{
		Draft: d, Form: newForm(p, values, ps), Problems: ps, Parts: parts,
	}}.withSession(s))
}

func (c *console) showText(w http.ResponseWriter, s session, status int, d draft, ps yamlcheck.Problems) {
	c.render(w, status, "edit", pageView{Title: "Whole document", Data: editPage{
		Draft: d, Text: true, Problems: ps, Parts: parts,
	}}.withSession(s))
}

// previewAction is the value of the button that checks and previews the draft.
// The value of any other button is the part to show next.
const previewAction = "preview"

// edit applies the values of one part's form to the draft and shows the next part
// or the preview.
func (c *console) edit(w http.ResponseWriter, r *http.Request, s session) {
	d, err := readDraft(r)
	if err != nil {
		c.showError(w, s, http.StatusBadRequest, "The form names no base revision. Open the form again from the menu.")
		return
	}
	next := r.PostForm.Get("go")
	p, isPart := findPart(r.PostForm.Get("part"))
	if !isPart {
		c.showNext(w, r, s, d, next)
		return
	}
	before := checkDocument(d.Text)
	if !before.decodable {
		c.showText(w, s, http.StatusUnprocessableEntity, d, before.problems)
		return
	}
	values := compactElements(p, r.PostForm)
	text, err := applyPart(p, values, before.document)
	if err != nil {
		c.showError(w, s, http.StatusInternalServerError, "The document cannot be written: "+err.Error()+". Edit the whole document as text.")
		return
	}
	after := checkDocument(text)
	stay := next == previewAction && len(after.problems) > 0
	if after.decodable {
		d.Text = text
	} else if next != textPartKey {
		stay = true
	}
	if stay {
		c.showForm(w, s, http.StatusUnprocessableEntity, d, p, values, after.problems)
		return
	}
	c.showNext(w, r, s, draft{Base: d.Base, Text: text}, next)
}

// showNext shows the draft as the part or preview that next names. It shows the
// whole text if the draft is invalid or next is unknown.
func (c *console) showNext(w http.ResponseWriter, r *http.Request, s session, d draft, next string) {
	doc := checkDocument(d.Text)
	p, isPart := findPart(next)
	switch {
	case isPart && doc.decodable:
		c.showForm(w, s, http.StatusOK, d, p, formValues(p.Key, doc.document), doc.problems)
	case next == previewAction && len(doc.problems) == 0:
		c.preview(w, r, s, d)
	case next == textPartKey:
		c.showText(w, s, http.StatusOK, d, doc.problems)
	default:
		c.showText(w, s, http.StatusUnprocessableEntity, d, doc.problems)
	}
}

// preview shows the changes of a valid draft. If a newer revision than its base
// is in force, it shows the conflict instead, because the draft would be refused.
func (c *console) preview(w http.ResponseWriter, r *http.Request, s session, d draft) {
	if now := c.fleet.Config(); now.Revision > d.Base {
		c.showConflict(w, r, s, d, now.Revision, "")
		return
	}
	base, err := c.loadRevision(r.Context(), d.Base)
	if err != nil {
		c.showError(w, s, http.StatusServiceUnavailable, "Revision "+formatNumber(d.Base)+" cannot be read to compare with it: "+err.Error()+". Nothing changed. Go back and try again.")
		return
	}
	c.render(w, http.StatusOK, "preview", pageView{Title: "Preview", Data: previewPage{
		Draft: d, Changes: diff(base.document, checkDocument(d.Text).document), Same: d.Text == base.text, Parts: parts,
	}}.withSession(s))
}
