package console

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Operator drives the console through a browser, for tests with real nodes.
type Operator struct{ b *browser }

// LogIn logs an operator in to the node at base.
func LogIn(t *testing.T, base, token string) Operator {
	t.Helper()
	b := newBrowser(t, base)
	page := b.login(token)
	is.New(t).Equal(page.path, "/console/")
	is.New(t).Equal(page.status, http.StatusOK)
	return Operator{b}
}

// GoTo sends the next requests to another node, as a load balancer would. Cookies
// are bound to the IP address and not to the port, so the session is kept.
func (o Operator) GoTo(base string) { o.b.base = base }

// Set changes one value through its form and accepts the preview. It returns the
// path of the resulting page.
func (o Operator) Set(part, field, value string) string {
	o.b.t.Helper()
	page := o.b.preview(part, field, value)
	is.New(o.b.t).Equal(page.status, http.StatusOK)
	return o.b.accept(page).path
}

// InForce reports whether the page of a revision shows it as in force on every
// node.
func (o Operator) InForce(path string) bool {
	return strings.Contains(o.b.get(path).body, "In force on every node")
}

// Status returns the HTTP status of a page.
func (o Operator) Status(path string) int { return o.b.get(path).status }
