package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// triesPerSecond and triesBurst bound the wrong tokens that one address
	// may try, so that a token cannot be guessed from outside.
	triesPerSecond = 0.5
	triesBurst     = 10
	// maxTriers bounds the addresses remembered.
	maxTriers = 4096
)

// Token is an operator's token as the settings hold it.
type Token struct {
	Name string // of the operator
	Hash string // hex SHA-256 of the token
}

// Authenticator checks operators' tokens. Caller keys never pass: they are
// looked up in another table, under another header form.
type Authenticator struct {
	tokens []Token
	mu     sync.Mutex
	tries  map[string]*rate.Limiter // by remote IP; wrong tries only
}

// NewAuthenticator returns an authenticator for the tokens.
func NewAuthenticator(tokens []Token) *Authenticator {
	return &Authenticator{tokens: tokens, tries: make(map[string]*rate.Limiter)}
}

// Verify returns the operator's name for a token.
func (a *Authenticator) Verify(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	name, ok := "", false
	for _, t := range a.tokens {
		// All are compared, each in constant time, so that the time taken
		// tells nothing about which hash came close.
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(t.Hash))) == 1 {
			name, ok = t.Name, true
		}
	}
	return name, ok
}

// HashOf returns the token hash of the operator with the name. Console sessions
// are signed with it, so that a changed token ends them.
func (a *Authenticator) HashOf(name string) (hash string, ok bool) {
	for _, t := range a.tokens {
		if t.Name == name {
			return strings.ToLower(t.Hash), true
		}
	}
	return "", false
}

// Blocked reports whether the remote address has used up its wrong tries.
func (a *Authenticator) Blocked(remote string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.tries[ipOf(remote)]
	return l != nil && l.Tokens() < 1
}

// Failed counts a wrong try of the remote address.
func (a *Authenticator) Failed(remote string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ip := ipOf(remote)
	l := a.tries[ip]
	if l == nil {
		if len(a.tries) >= maxTriers {
			a.tries = make(map[string]*rate.Limiter)
		}
		l = rate.NewLimiter(triesPerSecond, triesBurst)
		a.tries[ip] = l
	}
	l.Allow()
}

func ipOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}

// Require wraps h so that it runs only for a request with an operator's token
// in "Authorization: Bearer". The operator's name is passed on.
func (a *Authenticator) Require(h func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if a.Blocked(r.RemoteAddr) {
			w.Header().Set("Retry-After", "10")
			http.Error(w, "too many wrong tokens from this address; wait and try again", http.StatusTooManyRequests)
			return
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := a.Verify(token)
		if !ok || !known {
			a.Failed(r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "an operator's token is needed: send Authorization: Bearer TOKEN", http.StatusUnauthorized)
			return
		}
		h(w, r, name)
	}
}
