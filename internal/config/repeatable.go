package config

import (
	"path"
	"strings"
)

// Repeatable reports whether a call of the service may be sent again when it
// is not known whether it ran. A prefix of NotRepeatable covers its own path
// and everything below it: "POST /receipts" covers "/receipts" and
// "/receipts/7", not "/receiptsheet".
//
// A service may take "//receipts" or "/a/../receipts" for "/receipts" and run
// the call; so the path is judged both as it was sent and cleaned.
func (s *Service) Repeatable(method, urlPath string) bool {
	method = strings.ToUpper(method)
	if method == "GET" || method == "HEAD" {
		return true
	}
	clean := path.Clean("/" + urlPath)
	for _, entry := range s.NotRepeatable {
		m, prefix, _ := strings.Cut(entry, " ")
		if m == method && (covers(prefix, urlPath) || covers(prefix, clean)) {
			return false
		}
	}
	return true
}

func covers(prefix, urlPath string) bool {
	rest, ok := strings.CutPrefix(urlPath, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
