package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilloom/internal/operator"
)

const (
	cookieName = "chervilloom_session"
	// sessionLifetime covers a long shift. The nodes share no session store, so a
	// node cannot revoke a session on the others, and it must expire.
	sessionLifetime = 10 * time.Hour
	nonceBytes      = 16
	csrfField       = "csrf"
)

// session is the content of a valid cookie.
type session struct {
	operator string
	csrf     string // token in every form of this session
}

// sessionSigner signs and verifies session cookies. The key is derived from the
// secret that all nodes share, so every node behind the load balancer accepts a
// session without storing it. Without a shared secret, the secret is random per
// process.
type sessionSigner struct {
	key  []byte
	auth *operator.Authenticator
	now  func() time.Time
}

func newSessionSigner(secret []byte, auth *operator.Authenticator, now func() time.Time) *sessionSigner {
	return &sessionSigner{key: computeMAC(secret, "chervilloom console session key"), auth: auth, now: now}
}

func computeMAC(key []byte, parts ...string) []byte {
	m := hmac.New(sha256.New, key)
	for _, p := range parts {
		// The length prefix keeps different lists of parts distinct.
		m.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return m.Sum(nil)
}

// newCookie returns the cookie of a new session.
func (s *sessionSigner) newCookie(name string, secure bool) *http.Cookie {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never returns an error; it aborts the process instead
	expiry := s.now().Add(sessionLifetime)
	payload := strings.Join([]string{
		base64.RawURLEncoding.EncodeToString([]byte(name)),
		strconv.FormatInt(expiry.Unix(), 10),
		hex.EncodeToString(nonce),
	}, ".")
	hash, _ := s.auth.TokenHash(name)
	return &http.Cookie{
		Name: cookieName, Value: payload + "." + s.mac(payload, hash), Path: rootPath,
		Expires: expiry, HttpOnly: true, Secure: secure, SameSite: http.SameSiteStrictMode,
	}
}

// expiredCookie returns a cookie that deletes the session in the browser.
func expiredCookie(secure bool) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Path: rootPath, MaxAge: -1,
		HttpOnly: true, Secure: secure, SameSite: http.SameSiteStrictMode,
	}
}

// mac returns the signature of a session. It covers the operator's token hash, so
// that a session ends when the token changes.
func (s *sessionSigner) mac(payload, tokenHash string) string {
	return hex.EncodeToString(computeMAC(s.key, "session", payload, tokenHash))
}

// authenticate returns the session of a request, and whether it is valid.
func (s *sessionSigner) authenticate(r *http.Request) (session, bool) {
	cookie, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, false
	}
	cut := strings.LastIndexByte(cookie.Value, '.')
	if cut < 0 {
		return session{}, false
	}
	payload, mac := cookie.Value[:cut], cookie.Value[cut+1:]
	fields := strings.Split(payload, ".")
	if len(fields) != 3 {
		return session{}, false
	}
	name, err := base64.RawURLEncoding.DecodeString(fields[0])
	if err != nil {
		return session{}, false
	}
	hash, known := s.auth.TokenHash(string(name))
	if !known || !hmac.Equal([]byte(mac), []byte(s.mac(payload, hash))) {
		return session{}, false
	}
	expiry, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || s.now().Unix() >= expiry {
		return session{}, false
	}
	return session{operator: string(name), csrf: s.csrfToken(payload)}, true
}

func (s *sessionSigner) csrfToken(payload string) string {
	return hex.EncodeToString(computeMAC(s.key, "csrf", payload))
}

// pageHandler is a handler that requires a session.
type pageHandler func(w http.ResponseWriter, r *http.Request, s session)

// requireSession returns a handler that calls h, or redirects to the login form if
// the request has no session.
func (c *console) requireSession(h pageHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.sessions.authenticate(r)
		if !ok {
			http.Redirect(w, r, rootPath+"login", http.StatusSeeOther)
			return
		}
		h(w, r, s)
	}
}

// requireCSRFToken returns a handler that calls h only for forms with the
// session's CSRF token. Otherwise another site could submit a form in the
// operator's name.
func (c *console) requireCSRFToken(h pageHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.sessions.authenticate(r)
		if !ok {
			c.showSessionExpired(w)
			return
		}
		if err := r.ParseForm(); err != nil {
			c.showError(w, s, http.StatusBadRequest, "The form cannot be read: it was cut on its way or is too large. Go back and send it again.")
			return
		}
		if !hmac.Equal([]byte(r.PostForm.Get(csrfField)), []byte(s.csrf)) {
			c.showError(w, s, http.StatusForbidden, "This form does not belong to your session. Nothing was done. Go back, reload the page and send it again.")
			return
		}
		h(w, r, s)
	}
}

// showSessionExpired answers a form whose session has ended. It does not redirect,
// so that the operator's input remains on the browser's previous page.
func (c *console) showSessionExpired(w http.ResponseWriter) {
	c.render(w, http.StatusUnauthorized, "message", pageView{
		Title: "Log in again",
		Body:  "Your session has ended and nothing was done. Log in in another tab, then come back here, go back one page, reload it and send the form again.",
	})
}

func (c *console) loginForm(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "login", pageView{Title: "Log in"})
}

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	if c.auth.IsBlocked(r.RemoteAddr) {
		w.Header().Set("Retry-After", "10")
		c.render(w, http.StatusTooManyRequests, "login", pageView{
			Title: "Log in", Error: "Too many wrong tokens from this address. Wait ten seconds and try again.",
		})
		return
	}
	name, ok := c.auth.Verify(strings.TrimSpace(r.PostFormValue("token")))
	if !ok {
		c.auth.RecordFailure(r.RemoteAddr)
		c.log.Warn("console login refused", "remote", r.RemoteAddr)
		c.render(w, http.StatusUnauthorized, "login", pageView{
			Title: "Log in", Error: "This is no operator's token. A caller's key does not open the console.",
		})
		return
	}
	c.log.Info("console login", "operator", name, "remote", r.RemoteAddr)
	http.SetCookie(w, c.sessions.newCookie(name, r.TLS != nil))
	http.Redirect(w, r, rootPath, http.StatusSeeOther)
}

func (c *console) logout(w http.ResponseWriter, r *http.Request, _ session) {
	http.SetCookie(w, expiredCookie(r.TLS != nil))
	http.Redirect(w, r, rootPath+"login", http.StatusSeeOther)
}
