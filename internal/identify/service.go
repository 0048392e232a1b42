package identify

import (
	"fmt"
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
	req.Idempotent = svc.Repeatable(req.Method, req.Path)
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
