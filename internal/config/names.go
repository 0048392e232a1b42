package config

import (
	"regexp"

	"chervilloom/internal/yamlcheck"
)

// namePattern allows printable names without the separators of
// "model+adapter@version", table keys and paths.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

const nameRemedy = "write up to 64 letters, digits, \".\", \"_\" or \"-\", beginning with a letter or digit"

func validName(s string) bool { return len(s) <= MaxNameLength && namePattern.MatchString(s) }

// uniqueNames maps the names seen in one list to their index.
type uniqueNames map[string]int

// checkName validates the name of the list element at path.
func (c checker) checkName(path, name, kind string, seen uniqueNames) {
	at := path + ".name"
	if name == "" {
		c.Addf(at, nameRemedy, "the %s has no name", kind)
		return
	}
	if !validName(name) {
		c.Addf(at, nameRemedy, "the %s name %q is not allowed", kind, name)
	}
	if _, isDuplicate := seen[name]; isDuplicate {
		c.Addf(at, "write another name or leave one of them out", "the %s %q stands there twice", kind, name)
	}
	seen[name] = len(seen)
}

// checkNameList validates a list of names.
func (c checker) checkNameList(path string, list []string, kind string) {
	for i, s := range list {
		if !validName(s) {
			c.Addf(yamlcheck.Index(path, i), nameRemedy, "the %s name %q is not allowed", kind, s)
		}
	}
	c.checkUnique(path, list, kind)
}

func (c checker) checkUnique(path string, list []string, kind string) {
	seen := make(map[string]bool, len(list))
	for i, s := range list {
		if seen[s] {
			c.Addf(yamlcheck.Index(path, i), "leave one of them out", "the %s %q stands there twice", kind, s)
		}
		seen[s] = true
	}
}
