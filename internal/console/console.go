// Package console serves the operators' console: pages with forms, rendered on
// the node, that need no script. Its only output is one validated configuration
// document. It keeps nothing: what an operator is editing travels in the forms,
// so any node can take the next step.
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
var static embed.FS

// root is where the console is mounted.
const root = "/console/"

// maxForm bounds the body of a form, in bytes. A form holds a document twice at
// most, each percent-encoded.
const maxForm = 8 << 20

// securityPolicy lets a page load nothing but the console's own style sheet,
// run no script, post only to the console and stand in no frame.
const securityPolicy = "default-src 'self'; script-src 'none'; object-src 'none'; base-uri 'none'; form-action 'self'; frame-ancestors 'none'"

// Options configure the console.
type Options struct {
	Fleet operator.Fleet
	Auth  *operator.Authenticator
	// Secret is shared by all nodes, so that each accepts the sessions of the
	// others; nil: a random one of this process, and an operator has to log in
	// again at each node.
	Secret []byte
	Log    *slog.Logger
	Now    func() time.Time // nil: time.Now
}

type console struct {
	fleet    operator.Fleet
	auth     *operator.Authenticator
	sessions *sessions
	log      *slog.Logger
}

// New returns the handler of everything under /console/.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	secret := o.Secret
	if len(secret) == 0 {
		secret = randomSecret()
	}
	c := &console{fleet: o.Fleet, auth: o.Auth, sessions: newSessions(secret, o.Auth, o.Now), log: o.Log}
	mux := http.NewServeMux()
	mux.Handle("GET "+root+"static/", http.StripPrefix(root, http.FileServerFS(static)))
	mux.HandleFunc("GET "+root+"login", c.loginForm)
	mux.HandleFunc("POST "+root+"login", c.login)
	c.mountPages(mux)
	// SameSite keeps the cookie away from other sites' forms; the origin check
	// covers the login form, which has no session to bind a token to.
	return headers(http.NewCrossOriginProtection().Handler(mux))
}

func (c *console) mountPages(mux *http.ServeMux) {
	get := func(path string, h page) { mux.HandleFunc("GET "+root+path, c.guard(h)) }
	post := func(path string, h page) { mux.HandleFunc("POST "+root+path, c.guardForm(h)) }
	get("{$}", c.overview)
	get("explain", c.explain)
	get("drain", c.drainForm)
	post("drain", c.drain)
	get("edit/{part}", c.editForm)
	post("edit", c.edit)
	post("accept", c.accept)
	post("rebase", c.rebase)
	post("attempt", c.attempt)
	get("history", c.history)
	get("revisions/{number}", c.revision)
	get("rollback/{number}", c.rollBackForm)
	post("rollback", c.rollBack)
	post("logout", c.logout)
}

func randomSecret() []byte {
	b := make([]byte, 32)
	_, _ = rand.Read(b) // never fails, it ends the process instead
	return b
}

func headers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		head := w.Header()
		head.Set("Content-Security-Policy", securityPolicy)
		head.Set("X-Frame-Options", "DENY")
		head.Set("X-Content-Type-Options", "nosniff")
		head.Set("Referrer-Policy", "same-origin")
		head.Set("Cache-Control", "no-store")
		r.Body = http.MaxBytesReader(w, r.Body, maxForm)
		h.ServeHTTP(w, r)
	})
}
