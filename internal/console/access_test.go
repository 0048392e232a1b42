package console

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/operator"
)

func TestPagesRequireSession(t *testing.T) {
	srv := startServer(t, newFakeFleet())
	for _, path := range []string{"", "explain?id=x", "drain", "edit/text", "edit/models", "history", "revisions/1", "rollback/1"} {
		is.New(t).Equal(newBrowser(t, srv.URL).get("/console/"+path).path, "/console/login")
	}
	for _, path := range []string{"drain", "edit", "accept", "rebase", "attempt", "rollback", "logout"} {
		is.New(t).Equal(newBrowser(t, srv.URL).post("/console/"+path, url.Values{}).status, http.StatusUnauthorized)
	}
}

// A caller's key must not open a session, neither through the login form nor as a
// bearer token. Callers' keys are in the document and operators' tokens in the
// settings; the console checks the settings only.
func TestCallerKeyIsRefused(t *testing.T) {
	is := is.New(t)
	srv := startServer(t, newFakeFleet())
	b := newBrowser(t, srv.URL)
	is.Equal(b.login(callerKey).status, http.StatusUnauthorized)
	is.Equal(b.get("/console/").path, "/console/login")

	req, err := http.NewRequest(http.MethodGet, srv.URL+"/console/", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+ashaToken) // an operator's token is refused too: the console accepts sessions only
	is.Equal(b.do(b.http.Do(req)).path, "/console/login")
}

// Tokens are guessed from one address. After a few wrong ones even the right
// token is refused from that address, with a Retry-After header.
func TestWrongTokensAreRateLimited(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, startServer(t, newFakeFleet()).URL)
	last := response{}
	for range 30 {
		if last = b.login("guess"); last.status == http.StatusTooManyRequests {
			break
		}
	}
	is.Equal(last.status, http.StatusTooManyRequests)
	is.True(last.header.Get("Retry-After") != "")
	is.Equal(b.login(ashaToken).status, http.StatusTooManyRequests)
}

// Another site makes the operator's browser post a form. The browser adds the
// session cookie, but the site does not know the CSRF token. Without the token
// the form must have no effect.
func TestFormRequiresCSRFToken(t *testing.T) {
	f := newFakeFleet()
	srv := startServer(t, f)
	b, other := login(t, srv, ashaToken), login(t, srv, omarToken)
	foreign := other.get("/console/drain").form(t, "/console/logout").Get("csrf")
	for _, token := range []string{"", "wrong", foreign} {
		for _, path := range []string{"accept", "edit", "rebase", "attempt", "rollback", "drain", "logout"} {
			p := b.post("/console/"+path, url.Values{
				"csrf": {token}, "base": {"1"}, "to": {"1"}, "draft": {testDocument}, "vm": {"engine-1"}, "sure": {"on"},
			})
			is.New(t).Equal(p.status, http.StatusForbidden)
		}
	}
	is.New(t).Equal(len(f.revisions), 1)
	is.New(t).Equal(len(f.drained), 0)
	is.New(t).Equal(b.get("/console/").path, "/console/") // still logged in
}

func TestCrossOriginRequestIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, startServer(t, newFakeFleet()).URL)
	req, err := http.NewRequest(http.MethodPost, b.base+"/console/login", strings.NewReader("token="+ashaToken))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Origin", "https://elsewhere.example")
	is.Equal(b.do(b.http.Do(req)).status, http.StatusForbidden)
}

func TestHeadersAndCookie(t *testing.T) {
	is := is.New(t)
	h := newConsole(newFakeFleet())
	for _, secure := range []bool{false, true} {
		req := httptest.NewRequest(http.MethodPost, "/console/login", strings.NewReader("token="+ashaToken))
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		if secure {
			req.TLS = &tls.ConnectionState{}
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		is.Equal(w.Code, http.StatusSeeOther)
		cookie := w.Result().Cookies()[0]
		is.True(cookie.HttpOnly)
		is.Equal(cookie.SameSite, http.SameSiteStrictMode)
		is.Equal(cookie.Secure, secure)
		is.Equal(cookie.Path, "/console/")
		policy := w.Header().Get("Content-Security-Policy")
		is.True(strings.Contains(policy, "default-src 'self'"))
		is.True(strings.Contains(policy, "frame-ancestors 'none'"))
		is.Equal(w.Header().Get("X-Frame-Options"), "DENY")
		is.Equal(w.Header().Get("Cache-Control"), "no-store")
	}
}

func TestLogOut(t *testing.T) {
	is := is.New(t)
	b := login(t, startServer(t, newFakeFleet()), ashaToken)
	is.Equal(b.post("/console/logout", b.get("/console/").form(t, "/console/logout")).path, "/console/login")
	is.Equal(b.get("/console/").path, "/console/login")
}

// The load balancer sends an operator's next request to another node. A node with
// the same peer secret must accept the session. It must be refused with another
// secret, after its expiry, or if the cookie or the operator's token was changed.
func TestSessionValidity(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := func(d time.Duration) func() time.Time { return func() time.Time { return now.Add(d) } }
	cookie := newSessionSigner([]byte(testSecret), testAuth(), clock(0)).newCookie("asha", false)
	changed := operator.NewAuthenticator([]operator.Token{{Name: "asha", Hash: hashOf("new")}})
	gone := operator.NewAuthenticator(nil)
	for _, c := range []struct {
		name  string
		node  *sessionSigner
		value string
		want  bool
	}{
		{"another node", newSessionSigner([]byte(testSecret), testAuth(), clock(time.Hour)), cookie.Value, true},
		{"another secret", newSessionSigner([]byte("another"), testAuth(), clock(0)), cookie.Value, false},
		{"too late", newSessionSigner([]byte(testSecret), testAuth(), clock(sessionLifetime)), cookie.Value, false},
		{"the token was changed", newSessionSigner([]byte(testSecret), changed, clock(0)), cookie.Value, false},
		{"the operator was removed", newSessionSigner([]byte(testSecret), gone, clock(0)), cookie.Value, false},
		{"another name in the cookie", newSessionSigner([]byte(testSecret), testAuth(), clock(0)), "b21hcg" + cookie.Value[strings.IndexByte(cookie.Value, '.'):], false},
		{"cut", newSessionSigner([]byte(testSecret), testAuth(), clock(0)), cookie.Value[:20], false},
		{"empty", newSessionSigner([]byte(testSecret), testAuth(), clock(0)), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodGet, "/console/", nil)
			req.AddCookie(&http.Cookie{Name: cookieName, Value: c.value})
			_, ok := c.node.authenticate(req)
			is.New(t).Equal(ok, c.want)
		})
	}
}
