package test

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
)

// logSchema maps each message of the entry node's log to the fields that
// docs/LOGS.md names for it.
var logSchema = sync.OnceValues(func() (map[string]map[string]bool, error) {
	raw, err := os.ReadFile("../docs/LOGS.md")
	if err != nil {
		return nil, err
	}
	quoted := regexp.MustCompile("`([^`]+)`")
	schema := map[string]map[string]bool{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 { // a row of three cells between bars
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

// checkLogs fails the test for each line that a node wrote and that the page of
// logs doesn't describe. On-call engineers search by these names; one that is
// missing there is found by nobody.
func checkLogs(t *testing.T, p *process) {
	t.Helper()
	schema, err := logSchema()
	must(t, err)
	p.mu.Lock()
	lines := p.lines
	p.mu.Unlock()
	told := map[string]bool{}
	for _, line := range lines {
		for _, problem := range logProblems(schema, line) {
			if !told[problem] {
				t.Errorf("%s: %s, in %s", p.name, problem, line)
			}
			told[problem] = true
		}
	}
}

// logProblems returns what the schema doesn't know of a line.
func logProblems(schema map[string]map[string]bool, line string) []string {
	var fields map[string]any
	if err := json.Unmarshal([]byte(line), &fields); err != nil {
		return []string{"a line is no JSON object"}
	}
	msg, _ := fields["msg"].(string)
	known, ok := schema[msg]
	if !ok {
		return []string{"message " + msg + " is not on the page of logs"}
	}
	var out []string
	for name := range fields {
		switch name {
		case "time", "level", "msg", "vm":
		default:
			if !known[name] {
				out = append(out, "field "+name+" of "+msg+" is not on the page of logs")
			}
		}
	}
	return out
}

// The check itself finds a message and a field that the page lacks.
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
