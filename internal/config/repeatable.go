package config

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Repeatable reports whether a call of the service may be sent again when it
// is not known whether it ran. target is the path with the query, as the caller
// sent it. A prefix of NotRepeatable covers its own path, everything below it
// and other forms of it: "POST /receipts" covers "/receipts", "/receipts/7" and
// "/receipts.json", not "/receiptsheet".
//
// The path is judged as a server may come to read it: decoded, without "." and
// "..", in any case. Judged by the raw bytes, "/x/../receipts" or "/%72eceipts"
// would pass as repeatable and run twice. One that cannot be read is taken for
// any that the method's entries name.
func (s *Service) Repeatable(method, target string) bool {
	p, ok := normalise(target)
	for _, entry := range s.NotRepeatable {
		m, prefix, _ := strings.Cut(entry, " ")
		if sameHandler(m, method) && (!ok || covers(strings.ToLower(prefix), p)) {
			return false
		}
	}
	return true
}

// sameHandler reports whether an entry's method covers the request's. No
// accepted document names GET; one that does all the same covers HEAD as well,
// because servers answer HEAD by running the handler of GET.
func sameHandler(entry, method string) bool {
	if strings.EqualFold(method, http.MethodHead) && strings.EqualFold(entry, http.MethodGet) {
		return true
	}
	return strings.EqualFold(entry, method)
}

func normalise(target string) (string, bool) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return "", false
	}
	return strings.ToLower(path.Clean(u.Path)), true
}

// covers reports whether the prefix ends at the end of a word of the path.
func covers(prefix, urlPath string) bool {
	rest, ok := strings.CutPrefix(urlPath, strings.TrimSuffix(prefix, "/"))
	if !ok {
		return false
	}
	next, _ := utf8.DecodeRuneInString(rest)
	return !unicode.IsLetter(next) && !unicode.IsDigit(next) && next != '_' && next != '-'
}
