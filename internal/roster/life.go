package roster

import (
	"strconv"
	"strings"
)

// ID names one life of an endpoint's process: the endpoint's name and when the
// process started. An endpoint that starts again may keep its name and its
// address; it then holds and knows nothing of before. Two lives are never equal, so
// whatever is kept by ID (claims, loads, connections' records, ejections) ends with
// the life that it is about.
type ID string

// lifeMark stands between the name and the start. A name never contains it.
const lifeMark = "~"

// Life returns the ID of the process that started at born, in Unix ms of the
// endpoint's own clock; 0: the endpoint doesn't tell. It is compared only with
// another start of the same name.
func Life(name string, born uint64) ID {
	if born == 0 {
		return ID(name)
	}
	return ID(name + lifeMark + strconv.FormatUint(born, 10))
}

// ValidName reports whether lives of an endpoint of that name can be told apart.
func ValidName(name string) bool { return name != "" && !strings.Contains(name, lifeMark) }

// Name returns the name that the endpoint keeps over its lives.
func (id ID) Name() string {
	name, _, _ := strings.Cut(string(id), lifeMark)
	return name
}

// Born returns when the process started, in Unix ms of its own clock; 0: untold.
func (id ID) Born() uint64 {
	_, text, _ := strings.Cut(string(id), lifeMark)
	born, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return born
}

// Before reports whether id is an earlier life of the same endpoint.
func (id ID) Before(other ID) bool {
	return id.Name() == other.Name() && id.Born() < other.Born()
}

// Rejected is an entry of the platform's list that names no endpoint to use.
type Rejected struct {
	Key    string // of the entry
	Reason string
}
