package roster

import (
	"strconv"
	"strings"
)

// ID identifies one incarnation of an endpoint: the endpoint's name and the start time of
// its process. A restarted endpoint may keep its name and address but has lost all its
// state. The ids of two incarnations differ, so state that is stored by ID (claims, loads,
// connection records, ejections) is never applied to a later incarnation.
type ID string

// idSeparator separates the name from the start time. A name never contains it.
const idSeparator = "~"

// NewID returns the ID of the process that started at born, in Unix ms of the endpoint's own
// clock; 0: unknown. Start times are compared only between incarnations of the same name.
func NewID(name string, born uint64) ID {
	if born == 0 {
		return ID(name)
	}
	return ID(name + idSeparator + strconv.FormatUint(born, 10))
}

// IsValidName reports whether name can be part of an ID: it is neither empty nor contains the
// separator.
func IsValidName(name string) bool { return name != "" && !strings.Contains(name, idSeparator) }

// Name returns the endpoint's name, which is the same for all its incarnations.
func (id ID) Name() string {
	name, _, _ := strings.Cut(string(id), idSeparator)
	return name
}

// StartMillis returns the start time of the process in Unix ms of its own clock; 0: unknown.
func (id ID) StartMillis() uint64 {
	_, text, _ := strings.Cut(string(id), idSeparator)
	born, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return born
}

// Before reports whether id is an earlier incarnation of the same endpoint.
func (id ID) Before(other ID) bool {
	return id.Name() == other.Name() && id.StartMillis() < other.StartMillis()
}

// Rejected is an entry of the platform's list that describes no usable endpoint.
type Rejected struct {
	Key    string // key of the entry
	Reason string
}
