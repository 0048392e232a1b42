// Package logwalk explains a request from the collected logs of all nodes: what
// became of it, and what the nodes believed when they decided.
package logwalk

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Line is one line of a node's log.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	VM      string    `json:"vm"`

	Request     string   `json:"request"`
	Fingerprint string   `json:"fingerprint"` // the same for the same request under another id
	Stage       string   `json:"stage"`       // of a refusal
	Tried       []string `json:"tried"`
	Endpoint    string   `json:"endpoint"`
	ID          string   `json:"id"`       // of an ejection
	Decision    string   `json:"decision"` // about a group

	// Of a request's last line.
	Zone        string `json:"zone"` // of the node, in its first line
	Route       string `json:"route"`
	Kind        string `json:"kind"` // of a refusal
	Result      string `json:"result"`
	Cause       string `json:"cause"`
	Model       string `json:"model"`
	Endpoints   int    `json:"endpoints"`
	FreeSlots   int    `json:"free_slots"`
	FirstMS     int64  `json:"first_ms"`
	ObjectiveMS int64  `json:"objective_ms"`
	GapMS       int64  `json:"gap_ms"`
	GapAimMS    int64  `json:"gap_aim_ms"`

	raw []byte // the whole object
}

// Fields returns the line's own fields as they were logged, without time, node
// and message.
func (l *Line) Fields() string {
	var all map[string]json.RawMessage
	if json.Unmarshal(l.raw, &all) != nil {
		return ""
	}
	var parts []string
	for k, v := range all {
		switch k {
		case "time", "level", "msg", "vm":
		default:
			parts = append(parts, k+"="+string(v))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// Step is a line that bears on the request, with its age when the request ended.
type Step struct {
	Line Line
	Age  time.Duration // negative: after the request's end
	Why  string        // what it has to do with the request
}

// Explanation is what the logs tell of a request.
type Explanation struct {
	Request string
	Own     []Line // its own lines, in order of time
	Facts   []Step // what the nodes believed, in order of time
}

// maxLine bounds a line, in bytes; a longer one is passed over.
const maxLine = 1 << 20

// ReadDir reads all files of a folder. Lines that are no JSON objects are passed
// over: collectors add text of their own, before an object too.
func ReadDir(dir string) ([]Line, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var all []Line
	for _, e := range entries {
		if e.IsDir() {
			continue
		}
		lines, err := readFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readFile(path string) ([]Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

// Read reads the lines of one log.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		raw := slices.Clone(s.Bytes()[at:])
		l := Line{raw: raw}
		if json.Unmarshal(raw, &l) == nil && !l.Time.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

// factsFor is how long before a request's end a fact still bears on it: groups
// are repaired within seconds, and a lost store shows after the revocation bound.
const factsFor = 12 * time.Second

// latest are the messages of which the newest before the request's end tells
// what its node knew.
var latest = []string{
	"configuration in force", "configuration not read", "configuration is read again",
	"endpoints not read", "endpoints are read again",
	"node is followed; the store is not read", "no node is followed; the store is read",
	"node starts", "node leaves",
}

// Walk explains a request.
func Walk(lines []Line, request string) Explanation {
	ex := Explanation{Request: request}
	for _, l := range lines {
		if l.Request == request {
			ex.Own = append(ex.Own, l)
		}
	}
	if len(ex.Own) == 0 {
		return ex
	}
	slices.SortStableFunc(ex.Own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	end := ex.Own[len(ex.Own)-1]
	tried, fp := triedBy(ex.Own), fingerprintOf(ex.Own)
	noGroup := len(tried) == 0 && end.Stage == stagePick
	newest := map[string]Line{}
	for _, l := range lines {
		age := end.Time.Sub(l.Time)
		if l.VM == end.VM && slices.Contains(latest, l.Message) && age >= 0 && newest[l.Message].Time.Before(l.Time) {
			newest[l.Message] = l
		}
		if why := bears(&l, tried, noGroup, age); why != "" {
			ex.Facts = append(ex.Facts, Step{l, age, why})
		} else if fp != "" && l.Fingerprint == fp && l.Request != request && slices.Contains(ofTheSame, l.Message) {
			ex.Facts = append(ex.Facts, Step{l, age, "the same request, under any id"})
		}
	}
	for _, l := range newest {
		ex.Facts = append(ex.Facts, Step{l, end.Time.Sub(l.Time), "what " + end.VM + " knew"})
	}
	slices.SortStableFunc(ex.Facts, func(a, b Step) int { return cmp.Compare(b.Age, a.Age) })
	return ex
}

// ofTheSame are the messages about a request that comes under several ids. They tell why
// it is quarantined, however long ago that began.
var ofTheSame = []string{
	"attempt broke off", "request is quarantined", "quarantined request is tried", "request is quarantined no more",
}

func fingerprintOf(own []Line) string {
	for _, l := range own {
		if l.Fingerprint != "" {
			return l.Fingerprint
		}
	}
	return ""
}

func triedBy(own []Line) []string {
	var ids []string
	for _, l := range own {
		for _, id := range append(l.Tried, l.Endpoint) {
			if id != "" && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// stagePick is the stage of a refusal for want of an endpoint.
const stagePick = "pick"

// bears says what a line of any node has to do with a request that tried these
// endpoints, or found none to try, or "".
func bears(l *Line, tried []string, noGroup bool, age time.Duration) string {
	const after = 2 * time.Second // the repair that follows names the cause
	if age > factsFor || age < -after || l.Request != "" {
		return ""
	}
	switch l.Message {
	case "duty begun", "duty over":
		if noGroup || len(tried) > 0 {
			return "who runs the groups"
		}
	case "groups":
		if noGroup {
			return "the request found no group to go to"
		}
	}
	for _, id := range tried {
		if l.Endpoint == id || strings.HasPrefix(l.ID, id) || strings.Contains(l.Decision, id) {
			return "endpoint " + id + " was tried"
		}
	}
	return ""
}

// Print writes the explanation for a reader.
func (ex *Explanation) Print(w io.Writer) error {
	for _, f := range ex.Facts {
		if _, err := fmt.Fprintf(w, "%8.3f s before  %-18s %s  [%s]\n    %s\n", f.Age.Seconds(), f.Line.VM, f.Line.Message, f.Why, f.Line.Fields()); err != nil {
			return err
		}
	}
	for _, l := range ex.Own {
		if _, err := fmt.Fprintf(w, "%s  %-18s %s\n    %s\n", l.Time.Format(time.RFC3339Nano), l.VM, l.Message, l.Fields()); err != nil {
			return err
		}
	}
	return nil
}
