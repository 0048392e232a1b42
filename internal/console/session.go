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
	// sessionTerm is a long shift: a session can't be taken back on the other
	// nodes, which share no memory, so it must end by itself.
	sessionTerm = 10 * time.Hour
	nonceBytes  = 16
	csrfField   = "csrf"
)

// session is what a valid cookie says.
type session struct {
	operator string
	csrf     string // that each form of this session carries
}

// sessions signs and checks session cookies. The key is derived from a secret
// that all nodes share, so any node behind the balancer accepts the session and
// nothing is stored. Without a shared secret it is a secret of this process.
type sessions struct {
	key  []byte
	auth *operator.Authenticator
	now  func() time.Time
}

func newSessions(secret []byte, auth *operator.Authenticator, now func() time.Time) *sessions {
	return &sessions{key: sign(secret, "chervilloom console session key"), auth: auth, now: now}
}

func sign(key []byte, parts ...string) []byte {
	m := hmac.New(sha256.New, key)
	for _, p := range parts {
		// The length keeps two lists of parts from reading the same.
		m.Write([]byte(strconv.Itoa(len(p)) + ":" + p))
	}
	return m.Sum(nil)
}

// open returns the cookie of a new session.
func (s *sessions) open(name string, secure bool) *http.Cookie {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, it ends the process instead
	expiry := s.now().Add(sessionTerm)
	payload := strings.Join([]string{
		base64.RawURLEncoding.EncodeToString([]byte(name)),
		strconv.FormatInt(expiry.Unix(), 10),
		hex.EncodeToString(nonce),
	}, ".")
	hash, _ := s.auth.HashOf(name)
	return &http.Cookie{
		Name: cookieName, Value: payload + "." + s.mac(payload, hash), Path: root,
		Expires: expiry, HttpOnly: true, Secure: secure, SameSite: http.SameSiteStrictMode,
	}
}

// closed returns the cookie that makes the browser forget the session.
func closed(secure bool) *http.Cookie {
	return &http.Cookie{
		Name: cookieName, Path: root, MaxAge: -1,
		HttpOnly: true, Secure: secure, SameSite: http.SameSiteStrictMode,
	}
}

// mac covers the operator's token hash: a session ends with the token.
func (s *sessions) mac(payload, tokenHash string) string {
	return hex.EncodeToString(sign(s.key, "session", payload, tokenHash))
}

// read returns the session of a request.
func (s *sessions) read(r *http.Request) (session, bool) {
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
	hash, known := s.auth.HashOf(string(name))
	if !known || !hmac.Equal([]byte(mac), []byte(s.mac(payload, hash))) {
		return session{}, false
	}
	expiry, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil || s.now().Unix() >= expiry {
		return session{}, false
	}
	return session{operator: string(name), csrf: s.csrf(payload)}, true
}

func (s *sessions) csrf(payload string) string {
	return hex.EncodeToString(sign(s.key, "csrf", payload))
}

// page is a handler that runs for a session only.
type page func(w http.ResponseWriter, r *http.Request, s session)

// guard sends whoever has no session to the login form.
func (c *console) guard(h page) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.sessions.read(r)
		if !ok {
			http.Redirect(w, r, root+"login", http.StatusSeeOther)
			return
		}
		h(w, r, s)
	}
}

// guardForm runs h only for a form that this session was given. A form of
// another site would otherwise act in the operator's name.
func (c *console) guardForm(h page) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.sessions.read(r)
		if !ok {
			c.expired(w)
			return
		}
		if err := r.ParseForm(); err != nil {
			c.fail(w, s, http.StatusBadRequest, "The form cannot be read: it was cut on its way or is too large. Go back and send it again.")
			return
		}
		if !hmac.Equal([]byte(r.PostForm.Get(csrfField)), []byte(s.csrf)) {
			c.fail(w, s, http.StatusForbidden, "This form does not belong to your session. Nothing was done. Go back, reload the page and send it again.")
			return
		}
		h(w, r, s)
	}
}

// expired answers a form whose session has ended. It does not redirect: the
// browser's way back still holds what the operator wrote.
func (c *console) expired(w http.ResponseWriter) {
	c.render(w, http.StatusUnauthorized, "message", view{
		Title: "Log in again",
		Body:  "Your session has ended and nothing was done. Log in in another tab, then come back here, go back one page, reload it and send the form again.",
	})
}

func (c *console) loginForm(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "login", view{Title: "Log in"})
}

func (c *console) login(w http.ResponseWriter, r *http.Request) {
	if c.auth.Blocked(r.RemoteAddr) {
		w.Header().Set("Retry-After", "10")
		c.render(w, http.StatusTooManyRequests, "login", view{
			Title: "Log in", Error: "Too many wrong tokens from this address. Wait ten seconds and try again.",
		})
		return
	}
	name, ok := c.auth.Verify(strings.TrimSpace(r.PostFormValue("token")))
	if !ok {
		c.auth.Failed(r.RemoteAddr)
		c.log.Warn("console login refused", "remote", r.RemoteAddr)
		c.render(w, http.StatusUnauthorized, "login", view{
			Title: "Log in", Error: "This is no operator's token. A caller's key does not open the console.",
		})
		return
	}
	c.log.Info("console login", "operator", name, "remote", r.RemoteAddr)
	http.SetCookie(w, c.sessions.open(name, r.TLS != nil))
	http.Redirect(w, r, root, http.StatusSeeOther)
}

func (c *console) logout(w http.ResponseWriter, r *http.Request, _ session) {
	http.SetCookie(w, closed(r.TLS != nil))
	http.Redirect(w, r, root+"login", http.StatusSeeOther)
}
