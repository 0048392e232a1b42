package logwalk

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Loss counts the requests that were lost, or late, for the same reason on the same
// route in the same availability zone and window.
type Loss struct {
	Window   time.Duration // its start, from the first request's end
	Zone     string        // of the nodes; empty: their first line is missing
	Route    string
	Model    string
	Reason   string
	Requests int
	// Mean numbers of endpoints and free slots that the nodes knew when they decided.
	Endpoints, FreeSlots float64
	Example              string // id of one of the requests
}

// Losses counts by windows of the given length, in order of time, the most first. An
// answer without loss counts nowhere.
func Losses(lines []Line, window time.Duration) []Loss {
	zones := map[string]string{}
	var first time.Time
	for _, l := range lines {
		if l.Message == "node starts" {
			zones[l.VM] = l.Zone
		}
		if isEnd(l.Message) && (first.IsZero() || l.Time.Before(first)) {
			first = l.Time
		}
	}
	type key struct {
		window                     time.Duration
		zone, route, model, reason string
	}
	sums := map[key]*Loss{}
	for _, l := range lines {
		reason := lossReason(&l)
		if reason == "" {
			continue
		}
		k := key{l.Time.Sub(first).Truncate(window), zones[l.VM], l.Route, l.Model, reason}
		s := sums[k]
		if s == nil {
			s = &Loss{Window: k.window, Zone: k.zone, Route: k.route, Model: k.model, Reason: reason, Example: l.Request}
			sums[k] = s
		}
		s.Requests++
		s.Endpoints += float64(l.Endpoints)
		s.FreeSlots += float64(l.FreeSlots)
	}
	out := make([]Loss, 0, len(sums))
	for _, s := range sums {
		s.Endpoints /= float64(s.Requests)
		s.FreeSlots /= float64(s.Requests)
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(b.Requests, a.Requests),
			strings.Compare(a.Zone+a.Route+a.Reason, b.Zone+b.Route+b.Reason))
	})
	return out
}

// isEnd reports whether a message is a request's last one.
func isEnd(message string) bool { return strings.HasPrefix(message, "request ") }

// lossReason names what a request lost by; empty: nothing, or the line is none of a
// request's end.
func lossReason(l *Line) string {
	switch l.Message {
	case "request done":
		return lateReason(l)
	case "request refused":
		return "refused: " + l.Kind + causeOf(l)
	case "request cut", "request unknown", "request failed at the endpoint":
		return strings.TrimPrefix(l.Message, "request ") + causeOf(l)
	}
	return ""
}

func lateReason(l *Line) string {
	switch {
	case l.Result == "client_gone":
		return "the client left" + causeOf(l)
	case l.ObjectiveMS > 0 && l.FirstMS > l.ObjectiveMS && len(l.Tried) > 1:
		return "late: tried more than one endpoint" + causeOf(l)
	case l.ObjectiveMS > 0 && l.FirstMS > l.ObjectiveMS:
		return "late: the first event"
	case l.GapAimMS > 0 && l.GapMS > l.GapAimMS:
		return "late: a pause between events"
	}
	return ""
}

// causes are the beginnings and parts of causes that are told apart; ids and addresses
// that follow would make each a reason of its own.
var causes = []string{
	"every endpoint is full", "no endpoint serves", "the request was not sent", "endpoint refused: status 503",
	"endpoint refused: status 421", "endpoint answered 500", "i/o timeout", "connection reset", "unexpected EOF",
	"the client had left", "the time was over",
}

func causeOf(l *Line) string {
	var found []string
	for _, c := range causes {
		if strings.Contains(l.Cause, c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return " (" + strings.Join(found, "; ") + ")"
}

// PrintLosses writes the table.
func PrintLosses(w io.Writer, losses []Loss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FROM\tREQUESTS\tREASON\tROUTE\tMODEL\tZONE\tENDPOINTS\tFREE SLOTS\tEXAMPLE")
	for _, l := range losses {
		fmt.Fprintf(t, "%v\t%d\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%s\n",
			l.Window, l.Requests, l.Reason, l.Route, l.Model, l.Zone, l.Endpoints, l.FreeSlots, l.Example)
	}
	return t.Flush()
}
