package logwalk

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const lossLogs = `{"time":"2026-01-01T00:00:00Z","msg":"node starts","vm":"n1","zone":"a"}
{"time":"2026-01-01T00:00:01Z","msg":"request done","vm":"n1","request":"ok","route":"r","result":"answered","first_ms":100,"objective_ms":250,"gap_ms":50,"gap_aim_ms":200}
{"time":"2026-01-01T00:00:01.1Z","msg":"request done","vm":"n1","request":"r1","route":"r","model":"m","tried":["e1"],"result":"answered","first_ms":300,"objective_ms":250,"endpoints":4,"free_slots":10}
{"time":"2026-01-01T00:00:01.2Z","msg":"request done","vm":"n1","request":"r2","route":"r","model":"m","tried":["e1"],"result":"answered","first_ms":400,"objective_ms":250,"endpoints":2,"free_slots":0}
{"time":"2026-01-01T00:00:01.3Z","msg":"request done","vm":"n1","request":"r3","route":"r","result":"answered","first_ms":40,"objective_ms":250,"gap_ms":500,"gap_aim_ms":200}
{"time":"2026-01-01T00:00:03.5Z","msg":"request refused","vm":"n1","request":"r4","route":"r","kind":"overloaded","cause":"every endpoint is full; endpoint refused: status 503, at \"10.0.0.1:80\""}
{"time":"2026-01-01T00:00:03.6Z","msg":"request cut","vm":"n2","request":"r5","route":"r","cause":"read tcp 10.0.0.1:80: connection reset by peer"}
{"time":"2026-01-01T00:00:03.6Z","msg":"request done","vm":"n1","request":"r6","route":"r","result":"client_gone","cause":""}
{"time":"2026-01-01T00:00:03.7Z","msg":"groups","vm":"n1","zone":"a","decision":"group g closes"}
`

// Losses are counted by window, reason and zone, with the id of an example request and
// the mean numbers of endpoints and free slots that the nodes knew.
func TestLosses(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(lossLogs))
	is.NoErr(err)
	got := CountLosses(lines, 2*time.Second)
	is.Equal(len(got), 5)
	is.Equal(got[0], Loss{
		Zone: "a", Route: "r", Model: "m", Reason: "late: the first event", Requests: 2, Endpoints: 3, FreeSlots: 5, Example: "r1",
	})
	is.Equal(got[1].Reason, "late: a pause between events")
	reasons := map[string]string{}
	for _, l := range got[2:] {
		is.Equal(l.Window, 2*time.Second)
		reasons[l.Reason] = l.Example
	}
	is.Equal(reasons, map[string]string{
		"refused: overloaded (every endpoint is full; endpoint refused: status 503)": "r4",
		"cut (connection reset)": "r5",
		"the client left":        "r6",
	})
	var text strings.Builder
	is.NoErr(PrintLosses(&text, got))
	is.Equal(strings.Count(text.String(), "\n"), 6)
}

// Guards against windows that begin with a line about a request's quarantine, which is no end of a
// request.
func TestWindowsBeginWithFirstEnd(t *testing.T) {
	is := is.New(t)
	quarantined := `{"time":"2026-01-01T00:00:00Z","msg":"request is quarantined","vm":"n1","fingerprint":"f"}` + "\n"
	lines, err := Read(strings.NewReader(quarantined + `{"time":"2026-01-01T00:00:09Z","msg":"request cut","vm":"n1","request":"r"}`))
	is.NoErr(err)
	got := CountLosses(lines, 2*time.Second)
	is.Equal(len(got), 1)
	is.Equal(got[0].Window, time.Duration(0))
}

// Guards against one very long line that makes the logs of all nodes unreadable.
func TestTooLongLineIsSkipped(t *testing.T) {
	is := is.New(t)
	line := func(vm string) string {
		return `{"time":"2026-01-01T00:00:00Z","msg":"request cut","vm":"` + vm + `"}` + "\n"
	}
	for _, long := range []int{maxLineBytes, 5*maxLineBytes + 7} {
		lines, err := Read(strings.NewReader(line("before") + strings.Repeat("x", long) + line("long") + line("after")))
		is.NoErr(err)
		is.Equal(len(lines), 2)
		is.Equal(lines[0].VM, "before")
		is.Equal(lines[1].VM, "after")
	}
}
