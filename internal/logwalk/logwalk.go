// Package logwalk explains a request from the collected logs of all nodes: its own
// log lines, and the state that the nodes knew when they made their decisions.
package logwalk

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Line is one line of a node's JSON log. A field is empty if the line has no such
// key.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	VM      string    `json:"vm"`

	Request     string   `json:"request"`
	Fingerprint string   `json:"fingerprint"` // equal for equal requests with different ids
	Part        string   `json:"part"`        // part of the prompt for which requests are refused
	PromptParts []string `json:"prompt_parts"`
	Stage       string   `json:"stage"` // of a refusal
	Tried       []string `json:"tried"`
	Endpoint    string   `json:"endpoint"`
	ID          string   `json:"id"`       // of an ejection
	Decision    string   `json:"decision"` // of a change of a group

	// Keys of a request's last line, except for Zone.
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

	raw []byte // the JSON object
}

// Fields returns the keys and values of the line, sorted by key, without time,
// level, node and message. Values are in JSON.
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

// RelatedLine is a log line related to the request, with its age at the request's end.
type RelatedLine struct {
	Line     Line
	Age      time.Duration // negative: logged after the request's end
	Relation string        // why the line is related to the request, as printed
}

// Explanation contains the log lines about a request and those related to it.
type Explanation struct {
	Request      string
	OwnLines     []Line        // lines with the request's id, in order of time
	RelatedLines []RelatedLine // related lines of all nodes, in order of time
}

// maxLineBytes is the maximum length of a line, in bytes. Longer ones are skipped.
const maxLineBytes = 1 << 20

// ReadDir reads the logs in all files of a directory, without its subdirectories.
// Lines without a JSON object are skipped, and text before an object is ignored,
// since log collectors add text of their own.
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

// Read reads the lines of one log, skipping those without a JSON object that has
// a time.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	in := bufio.NewReaderSize(r, maxLineBytes)
	tooLong := false // the line that is being read is too long
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			tooLong = true
			continue
		}
		if !tooLong {
			if l, ok := parseLine(text); ok {
				lines = append(lines, l)
			}
		}
		tooLong = false
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return lines, err
		}
	}
}

// parseLine parses the JSON object in a line. It reports whether there is one with a time.
func parseLine(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{') // start of the object
	if at < 0 {
		return Line{}, false
	}
	l := Line{raw: slices.Clone(bytes.TrimRight(text[at:], "\r\n"))}
	return l, json.Unmarshal(l.raw, &l) == nil && !l.Time.IsZero()
}

// maxFactAge is the maximum age of a related line at the request's end. Groups are
// repaired within seconds, but the loss of the store has an effect only after the
// revocation bound.
const maxFactAge = 12 * time.Second

// stateMessages lists messages about a node's state. The newest line of each before the
// request's end shows what the node that logged the end knew at that time.
var stateMessages = []string{
	"configuration in force", "configuration not read", "configuration is read again",
	"endpoints not read", "endpoints are read again",
	"node is followed; the store is not read", "no node is followed; the store is read",
	"node starts", "node leaves",
}

// ExplainRequest collects the lines with the request's id and the related lines of all
// nodes. OwnLines is empty if no line has the id.
func ExplainRequest(lines []Line, request string) Explanation {
	ex := Explanation{Request: request}
	for _, l := range lines {
		if l.Request == request {
			ex.OwnLines = append(ex.OwnLines, l)
		}
	}
	if len(ex.OwnLines) == 0 {
		return ex
	}
	slices.SortStableFunc(ex.OwnLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	end := ex.OwnLines[len(ex.OwnLines)-1]
	tried, fp := triedEndpoints(ex.OwnLines), firstFingerprint(ex.OwnLines)
	noGroup := len(tried) == 0 && end.Stage == stagePick
	newest := map[string]Line{}
	for _, l := range lines {
		age := end.Time.Sub(l.Time)
		if l.VM == end.VM && slices.Contains(stateMessages, l.Message) && age >= 0 && newest[l.Message].Time.Before(l.Time) {
			newest[l.Message] = l
		}
		if why := relation(&l, tried, noGroup, age); why != "" {
			ex.RelatedLines = append(ex.RelatedLines, RelatedLine{l, age, why})
		} else if fp != "" && l.Fingerprint == fp && l.Request != request && slices.Contains(fingerprintMessages, l.Message) {
			ex.RelatedLines = append(ex.RelatedLines, RelatedLine{l, age, "an equal request, with any id"})
		} else if end.Part != "" && l.Request != request && concernsPart(&l, end.Part) {
			ex.RelatedLines = append(ex.RelatedLines, RelatedLine{l, age, "a request with the same part in its prompt"})
		}
	}
	for _, l := range newest {
		ex.RelatedLines = append(ex.RelatedLines, RelatedLine{l, end.Time.Sub(l.Time), "what " + end.VM + " knew"})
	}
	slices.SortStableFunc(ex.RelatedLines, func(a, b RelatedLine) int { return cmp.Compare(b.Age, a.Age) })
	return ex
}

// fingerprintMessages lists messages about all requests with one fingerprint. They show why a
// request is quarantined; their age is not limited.
var fingerprintMessages = []string{
	"attempt broke off", "request is quarantined", "quarantined request is tried", "request is quarantined no more",
}

// partMessages lists messages about a part of prompts. Their age is not limited either.
var partMessages = []string{"prompt part is quarantined", "quarantined request is tried", "prompt part is quarantined no more"}

// concernsPart reports whether the line is about a part of prompts, or about an attempt with it that
// broke off.
func concernsPart(l *Line, part string) bool {
	if l.Message == "attempt broke off" {
		return slices.Contains(l.PromptParts, part)
	}
	return l.Part == part && slices.Contains(partMessages, l.Message)
}

// firstFingerprint returns the first fingerprint in the lines, or "".
func firstFingerprint(own []Line) string {
	for _, l := range own {
		if l.Fingerprint != "" {
			return l.Fingerprint
		}
	}
	return ""
}

// triedEndpoints returns the ids of the endpoints in the lines, without duplicates.
func triedEndpoints(own []Line) []string {
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

// stagePick is the stage of a request that was refused because no endpoint was
// available.
const stagePick = "pick"

// relation returns the relation of a line of any node to a request that tried the
// given endpoints or found no group, or "" if there is none.
func relation(l *Line, tried []string, noGroup bool, age time.Duration) string {
	const after = 2 * time.Second // includes the repair after the request, whose lines name the cause
	if age > maxFactAge || age < -after || l.Request != "" {
		return ""
	}
	switch l.Message {
	case "duty begun", "duty over":
		if noGroup || len(tried) > 0 {
			return "which node runs the groups"
		}
	case "groups":
		if noGroup {
			return "the request found no available group"
		}
	}
	for _, id := range tried {
		if l.Endpoint == id || strings.HasPrefix(l.ID, id) || strings.Contains(l.Decision, id) {
			return "endpoint " + id + " was tried"
		}
	}
	return ""
}

// Print writes the explanation as text: the related lines, then the request's own.
func (ex *Explanation) Print(w io.Writer) error {
	for _, f := range ex.RelatedLines {
		if _, err := fmt.Fprintf(w, "%8.3f s before  %-18s %s  [%s]\n    %s\n", f.Age.Seconds(), f.Line.VM, f.Line.Message, f.Relation, f.Line.Fields()); err != nil {
			return err
		}
	}
	for _, l := range ex.OwnLines {
		if _, err := fmt.Fprintf(w, "%s  %-18s %s\n    %s\n", l.Time.Format(time.RFC3339Nano), l.VM, l.Message, l.Fields()); err != nil {
			return err
		}
	}
	return nil
}
