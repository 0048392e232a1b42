package identify

import (
	"fmt"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// identifyService reads "/services/{name}/rest?query".
func identifyService(req *request.Request, doc *config.Document) (time.Duration, *outcome.Error) {
	rest := strings.TrimPrefix(req.Path, PathServices)
	name, _, _ := strings.Cut(rest, "?")
	name, _, _ = strings.Cut(name, "/")
	svc := doc.Service(name)
	if svc == nil {
		return 0, refuse(outcome.UnknownService, fmt.Sprintf("no service %.80q is configured", name),
			"ask for one of: "+names(doc.Services, func(s config.Service) string { return s.Name }))
	}
	req.Service = name
	req.ResumeID = "" // the id of a service's own event: its header goes on to the service
	req.Path = absolute(strings.TrimPrefix(rest, name))
	req.Idempotent = repeatable(svc, req.Method, req.Path)
	req.Class = request.ClassCall
	if req.Idempotent {
		req.Class = request.ClassLookup
	}
	return svc.Timeout.Or(DefaultServiceTimeout), nil
}

func absolute(p string) string {
	if !strings.HasPrefix(p, "/") {
		return "/" + p
	}
	return p
}

// repeatable applies the service's rules. A rule matches the path as a server
// may come to read it: decoded, without "." and "..", in any case. Matching
// the raw bytes would let "/x/../receipts" or "/%72eceipts" pass as repeatable.
func repeatable(svc *config.Service, method, target string) bool {
	p, ok := normalise(target)
	for _, rule := range svc.NotRepeatable {
		m, prefix, _ := strings.Cut(rule, " ")
		if !sameHandler(m, method) {
			continue
		}
		if !ok || strings.HasPrefix(p, strings.ToLower(prefix)) {
			return false
		}
	}
	return true
}

// sameHandler reports whether a rule's method covers the request's. Servers
// answer HEAD by running the handler of GET and leaving the body out, so that
// a HEAD has the same effect.
func sameHandler(rule, method string) bool {
	if strings.EqualFold(method, http.MethodHead) && strings.EqualFold(rule, http.MethodGet) {
		return true
	}
	return strings.EqualFold(rule, method)
}

func normalise(target string) (string, bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", false
	}
	p := path.Clean(u.Path)
	if strings.HasSuffix(u.Path, "/") && p != "/" {
		p += "/"
	}
	return strings.ToLower(p), true
}

// maxNames bounds the list of names in a remedy.
const maxNames = 20

func names[T any](items []T, name func(T) string) string {
	var out []string
	for i := range items {
		if i == maxNames {
			out = append(out, "...")
			break
		}
		out = append(out, name(items[i]))
	}
	return strings.Join(out, ", ")
}
