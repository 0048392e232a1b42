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
	// failedTokensPerSecond and failedTokenBurst bound the wrong tokens from one
	// address, so that tokens cannot be guessed.
	failedTokensPerSecond = 0.5
	failedTokenBurst      = 10
	// maxTrackedAddresses bounds the addresses with failed attempts in memory.
	maxTrackedAddresses = 4096
)

// Token is an operator's token from the settings.
type Token struct {
	Name string // operator's name
	Hash string // hex SHA-256 of the token
}

// Authenticator checks operators' tokens. Callers' keys are never accepted,
// because they are looked up in another table.
type Authenticator struct {
	tokens   []Token
	mu       sync.Mutex
	failures map[string]*rate.Limiter // failed attempts by remote IP
}

// NewAuthenticator returns an authenticator for the tokens.
func NewAuthenticator(tokens []Token) *Authenticator {
	return &Authenticator{tokens: tokens, failures: make(map[string]*rate.Limiter)}
}

// Verify returns the name of the operator with the token, and whether there is
// one.
func (a *Authenticator) Verify(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	name, ok := "", false
	for _, t := range a.tokens {
		// Every hash is compared in constant time, so that the duration does
		// not reveal which hash nearly matched.
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(t.Hash))) == 1 {
			name, ok = t.Name, true
		}
	}
	return name, ok
}

// TokenHash returns the token hash of the named operator. Console sessions are
// signed with it, so that changing the token ends them.
func (a *Authenticator) TokenHash(name string) (hash string, ok bool) {
	for _, t := range a.tokens {
		if t.Name == name {
			return strings.ToLower(t.Hash), true
		}
	}
	return "", false
}

// IsBlocked reports whether the remote address has exhausted its failed attempts.
func (a *Authenticator) IsBlocked(remote string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.failures[remoteIP(remote)]
	return l != nil && l.Tokens() < 1
}

// RecordFailure counts a failed attempt of the remote address.
func (a *Authenticator) RecordFailure(remote string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ip := remoteIP(remote)
	l := a.failures[ip]
	if l == nil {
		if len(a.failures) >= maxTrackedAddresses {
			a.failures = make(map[string]*rate.Limiter)
		}
		l = rate.NewLimiter(failedTokensPerSecond, failedTokenBurst)
		a.failures[ip] = l
	}
	l.Allow()
}

func remoteIP(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}

// Require returns a handler that calls h with the operator's name if the request
// has an operator's token in "Authorization: Bearer", and refuses it otherwise.
func (a *Authenticator) Require(h func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if a.IsBlocked(r.RemoteAddr) {
			w.Header().Set("Retry-After", "10")
			http.Error(w, "too many wrong tokens from this address; wait and try again", http.StatusTooManyRequests)
			return
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, known := a.Verify(token)
		if !ok || !known {
			a.RecordFailure(r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "an operator's token is needed: send Authorization: Bearer TOKEN", http.StatusUnauthorized)
			return
		}
		h(w, r, name)
	}
}
