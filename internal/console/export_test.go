package console

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Operator is an operator at a browser, for tests through real nodes.
type Operator struct{ b *browser }

// LogIn logs an operator in at a node.
func LogIn(t *testing.T, base, token string) Operator {
	t.Helper()
	b := newBrowser(t, base)
	page := b.login(token)
	is.New(t).Equal(page.path, "/console/")
	is.New(t).Equal(page.status, http.StatusOK)
	return Operator{b}
}

// GoTo has the browser send its next requests to another node, as a balancer
// does. Cookies go by IP number, so the session goes along.
func (o Operator) GoTo(base string) { o.b.base = base }

// Set changes one value through its form and accepts the preview; it returns the
// path of the page that the operator ends on.
func (o Operator) Set(part, field, value string) string {
	o.b.t.Helper()
	page := o.b.preview(part, field, value)
	is.New(o.b.t).Equal(page.status, http.StatusOK)
	return o.b.accept(page).path
}

// InForce reports whether the page of a revision says that it is in force on
// every node.
func (o Operator) InForce(path string) bool {
	return strings.Contains(o.b.get(path).body, "In force on every node")
}

// Status returns the status of a page.
func (o Operator) Status(path string) int { return o.b.get(path).status }
