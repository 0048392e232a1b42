package identify

import (
	"fmt"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// identifyService identifies a request to "/services/{name}/rest?query" and
// returns its timeout.
func identifyService(req *request.Request, doc *config.Document) (time.Duration, *outcome.Error) {
	rest := strings.TrimPrefix(req.Path, PathServices)
	name, _, _ := strings.Cut(rest, "?")
	name, _, _ = strings.Cut(name, "/")
	svc := doc.Service(name)
	if svc == nil {
		return 0, refuse(outcome.UnknownService, fmt.Sprintf("no service %.80q is configured", name),
			"ask for one of: "+joinNames(doc.Services, func(s config.Service) string { return s.Name }))
	}
	req.Service = name
	req.ResumeID = "" // event ID of the service itself, which receives the header unchanged
	req.Path = ensureLeadingSlash(strings.TrimPrefix(rest, name))
	req.Idempotent = svc.Repeatable(req.Method, req.Path)
	req.Class = request.ClassCall
	if req.Idempotent {
		req.Class = request.ClassLookup
	}
	return svc.Timeout.Or(DefaultServiceTimeout), nil
}

func ensureLeadingSlash(p string) string {
	if !strings.HasPrefix(p, "/") {
		return "/" + p
	}
	return p
}

// maxNames limits the names listed in a remedy.
const maxNames = 20

func joinNames[T any](items []T, name func(T) string) string {
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
