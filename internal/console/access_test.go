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

func TestNobodySeesAPageWithoutASession(t *testing.T) {
	srv := serve(t, newFakeFleet())
	for _, path := range []string{"", "explain?id=x", "drain", "edit/text", "edit/models", "history", "revisions/1", "rollback/1"} {
		is.New(t).Equal(newBrowser(t, srv.URL).get("/console/"+path).path, "/console/login")
	}
	for _, path := range []string{"drain", "edit", "accept", "rebase", "attempt", "rollback", "logout"} {
		is.New(t).Equal(newBrowser(t, srv.URL).post("/console/"+path, url.Values{}).status, http.StatusUnauthorized)
	}
}

// A caller who holds a key of an organisation tries it as an operator's token
// and gets no session, in the form or as a bearer. Keys of callers stand in the
// document, tokens of operators in the settings: the console looks in the
// settings alone.
func TestCallerKeyOpensNothing(t *testing.T) {
	is := is.New(t)
	srv := serve(t, newFakeFleet())
	b := newBrowser(t, srv.URL)
	is.Equal(b.login(callerKey).status, http.StatusUnauthorized)
	is.Equal(b.get("/console/").path, "/console/login")

	req, err := http.NewRequest(http.MethodGet, srv.URL+"/console/", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+ashaToken) // not even an operator's: the console takes sessions only
	is.Equal(b.do(b.http.Do(req)).path, "/console/login")
}

// Someone guesses tokens from one address. After a few wrong ones even the
// right token is refused there, with the time to wait.
func TestWrongTokensAreRateLimited(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, serve(t, newFakeFleet()).URL)
	last := shown{}
	for range 30 {
		if last = b.login("guess"); last.status == http.StatusTooManyRequests {
			break
		}
	}
	is.Equal(last.status, http.StatusTooManyRequests)
	is.True(last.header.Get("Retry-After") != "")
	is.Equal(b.login(ashaToken).status, http.StatusTooManyRequests)
}

// Another site makes the operator's browser post a form. It knows the session's
// cookie only through the browser and cannot know the form's token; without it
// nothing is done.
func TestFormWithoutItsTokenIsRefused(t *testing.T) {
	f := newFakeFleet()
	srv := serve(t, f)
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

func TestRequestOfAnotherOriginIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t, serve(t, newFakeFleet()).URL)
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
	b := login(t, serve(t, newFakeFleet()), ashaToken)
	is.Equal(b.post("/console/logout", b.get("/console/").form(t, "/console/logout")).path, "/console/login")
	is.Equal(b.get("/console/").path, "/console/login")
}

// The balancer sends an operator's next request to another node. That node
// shares the peers' secret and accepts the session; one with another secret, a
// later time, a changed cookie or a changed token of the operator does not.
func TestSessionHoldsAtEveryNodeUntilItEnds(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := func(d time.Duration) func() time.Time { return func() time.Time { return now.Add(d) } }
	cookie := newSessions([]byte(testSecret), testAuth(), clock(0)).open("asha", false)
	changed := operator.NewAuthenticator([]operator.Token{{Name: "asha", Hash: hashOf("new")}})
	gone := operator.NewAuthenticator(nil)
	for _, c := range []struct {
		name  string
		node  *sessions
		value string
		want  bool
	}{
		{"another node", newSessions([]byte(testSecret), testAuth(), clock(time.Hour)), cookie.Value, true},
		{"another secret", newSessions([]byte("another"), testAuth(), clock(0)), cookie.Value, false},
		{"too late", newSessions([]byte(testSecret), testAuth(), clock(sessionTerm)), cookie.Value, false},
		{"the token was changed", newSessions([]byte(testSecret), changed, clock(0)), cookie.Value, false},
		{"the operator was removed", newSessions([]byte(testSecret), gone, clock(0)), cookie.Value, false},
		{"another name in the cookie", newSessions([]byte(testSecret), testAuth(), clock(0)), "b21hcg" + cookie.Value[strings.IndexByte(cookie.Value, '.'):], false},
		{"cut", newSessions([]byte(testSecret), testAuth(), clock(0)), cookie.Value[:20], false},
		{"empty", newSessions([]byte(testSecret), testAuth(), clock(0)), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := httptest.NewRequest(http.MethodGet, "/console/", nil)
			req.AddCookie(&http.Cookie{Name: cookieName, Value: c.value})
			_, ok := c.node.read(req)
			is.New(t).Equal(ok, c.want)
		})
	}
}
