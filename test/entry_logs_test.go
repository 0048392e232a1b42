package test

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
)

// logSchema maps each log message of the entry node to the fields documented
// for it in docs/LOGS.md.
var logSchema = sync.OnceValues(func() (map[string]map[string]bool, error) {
	raw, err := os.ReadFile("../docs/LOGS.md")
	if err != nil {
		return nil, err
	}
	quoted := regexp.MustCompile("`([^`]+)`")
	schema := map[string]map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 { // not a table row of three cells
			continue
		}
		for _, msg := range quoted.FindAllStringSubmatch(cells[1], -1) {
			fields := map[string]bool{}
			for _, field := range quoted.FindAllStringSubmatch(cells[3], -1) {
				fields[field[1]] = true
			}
			schema[msg[1]] = fields
		}
	}
	return schema, nil
})

// checkLogs fails the test for each log line of a node that docs/LOGS.md
// doesn't describe. On-call engineers search by these names, so an undocumented
// one can't be found.
func checkLogs(t *testing.T, p *process) {
	t.Helper()
	schema, err := logSchema()
	must(t, err)
	p.mu.Lock()
	lines := p.lines
	p.mu.Unlock()
	reported := map[string]bool{}
	for _, line := range lines {
		for _, problem := range logProblems(schema, line) {
			if !reported[problem] {
				t.Errorf("%s: %s, in %s", p.name, problem, line)
			}
			reported[problem] = true
		}
	}
}

// logProblems returns the deviations of a line from the schema.
func logProblems(schema map[string]map[string]bool, line string) []string {
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		return []string{"a line is not a JSON object"}
	}
	msg, _ := fields["msg"].(string)
	known, ok := schema[msg]
	if !ok {
		return []string{"message " + msg + " is not documented in docs/LOGS.md"}
	}
	var out []string
	for name := range fields {
		switch name {
		case "time", "level", "msg", "vm":
		default:
			if !known[name] {
				out = append(out, "field "+name+" of "+msg+" is not documented in docs/LOGS.md")
			}
		}
	}
	return out
}

// The check must report an undocumented message and an undocumented field.
func TestLogProblems(t *testing.T) {
	schema := map[string]map[string]bool{"known": {"a": true}}
	for line, want := range map[string]int{
		`{"time":"t","level":"INFO","msg":"known","vm":"v","a":1}`: 0,
		`{"msg":"known","b":1,"c":1}`:                              2,
		`{"msg":"unknown"}`:                                        1,
		`panic: no line of a log`:                                  1,
	} {
		if got := logProblems(schema, line); len(got) != want {
			t.Errorf("%s: problems %v, want %d", line, got, want)
		}
	}
}
