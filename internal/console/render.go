package console

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"time"
)

//go:embed templates
var templateFiles embed.FS

// view is what every page shows; Data is the page's own type.
type view struct {
	Title    string
	Operator string // empty: nobody is logged in
	CSRF     string
	Error    string
	Body     string
	Refresh  int // seconds after which the browser asks again; 0: never
	Data     any
}

// in returns the view with the session's name and token.
func (v view) in(s session) view {
	v.Operator, v.CSRF = s.operator, s.csrf
	return v
}

// ageUnit is the precision in which ages are shown.
const ageUnit = 10 * time.Millisecond

// age returns "never" for the age of what never happened.
func age(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(ageUnit).String()
}

// capped shows a cap over all nodes, and the share of it that this node hands
// out now.
func capped(limit, share float64) string {
	if limit == 0 {
		return "no cap"
	}
	return fmt.Sprintf("%g/s, %.0f%% of it here", limit, 100*share)
}

var templates = template.Must(template.New("").Funcs(template.FuncMap{"age": age, "capped": capped}).ParseFS(templateFiles, "templates/*.html"))

// render writes a page whole or, when its template fails, an error: a page cut
// in the middle could show a form without its base revision.
func (c *console) render(w http.ResponseWriter, status int, name string, v view) {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name+".html", v); err != nil {
		c.log.Error("console page cannot be rendered", "page", name, "error", err)
		http.Error(w, "the page cannot be rendered; use the command line and see the node's log", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if _, err := w.Write(b.Bytes()); err != nil {
		c.log.Debug("operator left before the page ended", "error", err)
	}
}

func (c *console) fail(w http.ResponseWriter, s session, status int, body string) {
	c.render(w, status, "message", view{Title: "Not done", Body: body}.in(s))
}
