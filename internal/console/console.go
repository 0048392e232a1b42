// Package console implements the operators' console: HTML pages with forms,
// rendered on the node without scripts. It produces one validated configuration
// document. It is stateless: forms contain the draft that an operator edits, so
// any node can serve the next step.
package console

import (
	"crypto/rand"
	"embed"
	"log/slog"
	"net/http"
	"time"

	"chervilloom/internal/operator"
)

//go:embed static
var staticFiles embed.FS

// rootPath is the path prefix of the console.
const rootPath = "/console/"

// maxFormBytes bounds the body of a form. A form contains a document at most
// twice, percent-encoded.
const maxFormBytes = 8 << 20

// contentSecurityPolicy allows the console's own style sheet and form posts to
// the console only. It forbids scripts and framing.
const contentSecurityPolicy = "default-src 'self'; script-src 'none'; object-src 'none'; base-uri 'none'; form-action 'self'; frame-ancestors 'none'"

// Options configures the console.
type Options struct {
	Fleet operator.Fleet
	Auth  *operator.Authenticator
	// Secret is shared by all nodes, so that each accepts the sessions of the
	// others. If it is empty, a random secret of this process is used, and
	// operators must log in to each node.
	Secret []byte
	Log    *slog.Logger
	Now    func() time.Time // nil: time.Now
}

type console struct {
	fleet    operator.Fleet
	auth     *operator.Authenticator
	sessions *sessionSigner
	log      *slog.Logger
}

// New returns the handler for all paths under /console/.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	secret := o.Secret
	if len(secret) == 0 {
		secret = randomSecret()
	}
	c := &console{fleet: o.Fleet, auth: o.Auth, sessions: newSessionSigner(secret, o.Auth, o.Now), log: o.Log}
	mux := http.NewServeMux()
	mux.Handle("GET "+rootPath+"static/", http.StripPrefix(rootPath, http.FileServerFS(staticFiles)))
	mux.HandleFunc("GET "+rootPath+"login", c.loginForm)
	mux.HandleFunc("POST "+rootPath+"login", c.login)
	c.mountPages(mux)
	// SameSite withholds the cookie from other sites' forms. The origin check
	// protects the login form, which has no session for a CSRF token.
	return withSecurityHeaders(http.NewCrossOriginProtection().Handler(mux))
}

func (c *console) mountPages(mux *http.ServeMux) {
	get := func(path string, h pageHandler) { mux.HandleFunc("GET "+rootPath+path, c.requireSession(h)) }
	post := func(path string, h pageHandler) { mux.HandleFunc("POST "+rootPath+path, c.requireCSRFToken(h)) }
	get("{$}", c.overview)
	get("explain", c.explain)
	get("drain", c.drainForm)
	post("drain", c.drain)
	get("edit/{part}", c.editForm)
	post("edit", c.edit)
	post("accept", c.accept)
	post("rebase", c.rebase)
	post("attempt", c.checkAttempt)
	get("history", c.history)
	get("revisions/{number}", c.revision)
	get("rollback/{number}", c.rollBackForm)
	post("rollback", c.rollBack)
	post("logout", c.logout)
}

func randomSecret() []byte {
	b := make([]byte, 32)
	_, _ = rand.Read(b) // never returns an error; it aborts the process instead
	return b
}

func withSecurityHeaders(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		head := w.Header()
		head.Set("Content-Security-Policy", contentSecurityPolicy)
		head.Set("X-Frame-Options", "DENY")
		head.Set("X-Content-Type-Options", "nosniff")
		head.Set("Referrer-Policy", "same-origin")
		head.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
		h.ServeHTTP(w, r)
	})
}
