package config

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Repeatable reports whether a call of the service may be sent again when it is
// unknown whether it ran. target is the path with the query, as the caller sent
// it. A prefix in NotRepeatable covers its own path, everything below it and
// other forms of it: "POST /receipts" covers "/receipts", "/receipts/7" and
// "/receipts.json", but not "/receiptsheet".
//
// The path is compared in the form that a server may interpret it: decoded,
// without "." and "..", ignoring case. If the raw bytes were compared,
// "/x/../receipts" or "/%72eceipts" would be considered repeatable and could
// run twice. A path that cannot be parsed matches every entry of its method.
func (s *Service) Repeatable(method, target string) bool {
	p, ok := normalisePath(target)
	for _, entry := range s.NotRepeatable {
		m, prefix, _ := strings.Cut(entry, " ")
		if matchesMethod(m, method) && (!ok || hasPathPrefix(strings.ToLower(prefix), p)) {
			return false
		}
	}
	return true
}

// matchesMethod reports whether an entry's method covers the request's.
// Validated documents never list GET; if an entry does, it covers HEAD as well,
// because servers answer HEAD by running the handler of GET.
func matchesMethod(entry, method string) bool {
	if strings.EqualFold(method, http.MethodHead) && strings.EqualFold(entry, http.MethodGet) {
		return true
	}
	return strings.EqualFold(entry, method)
}

func normalisePath(target string) (string, bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", false
	}
	return strings.ToLower(path.Clean(u.Path)), true
}

// hasPathPrefix reports whether urlPath starts with prefix, and the prefix ends
// at the end of a word.
func hasPathPrefix(prefix, urlPath string) bool {
	rest, ok := strings.CutPrefix(urlPath, strings.TrimSuffix(prefix, "/"))
	if !ok {
		return false
	}
	next, _ := utf8.DecodeRuneInString(rest)
	return !unicode.IsLetter(next) && !unicode.IsDigit(next) && next != '_' && next != '-'
}
