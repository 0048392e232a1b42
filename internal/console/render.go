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

// pageView contains the template data of a page. Data is specific to the page.
type pageView struct {
	Title    string
	Operator string // empty: not logged in
	CSRF     string
	Error    string
	Body     string
	Refresh  int // reload interval in seconds; 0: no reload
	Data     any
}

// withSession returns the view with the session's operator and CSRF token.
func (v pageView) withSession(s session) pageView {
	v.Operator, v.CSRF = s.operator, s.csrf
	return v
}

// agePrecision is the precision of displayed ages.
const agePrecision = 10 * time.Millisecond

// formatAge returns d rounded for display, or "never" if it is negative.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(agePrecision).String()
}

// formatLimit returns a limit over all nodes and the share of it that this node
// may use now.
func formatLimit(limit, share float64) string {
	if limit == 0 {
		return "no cap"
	}
	return fmt.Sprintf("%g/s, %.0f%% of it here", limit, 100*share)
}

var templates = template.Must(template.New("").Funcs(template.FuncMap{"age": formatAge, "capped": formatLimit}).ParseFS(templateFiles, "templates/*.html"))

// render writes a complete page, or an error if its template fails. A truncated
// page could contain a form without its base revision.
func (c *console) render(w http.ResponseWriter, status int, name string, v pageView) {
	var b bytes.Buffer
	if err := templates.ExecuteTemplate(&b, name+".html", v); err != nil {
		c.log.Error("console page cannot be rendered", "page", name, "error", err)
		http.Error(w, "the page cannot be rendered; use the command line and see the node's log", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if _, err := w.Write(b.Bytes()); err != nil {
		c.log.Debug("operator disconnected before the page was complete", "error", err)
	}
}

func (c *console) showError(w http.ResponseWriter, s session, status int, body string) {
	c.render(w, status, "message", pageView{Title: "Not done", Body: body}.withSession(s))
}
