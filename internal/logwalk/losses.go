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

// Loss counts the lost or late requests with the same reason, route, model,
// availability zone and time window.
type Loss struct {
	Window   time.Duration // start of the window, from the end of the first request
	Zone     string        // of the nodes; empty if their first line is missing
	Route    string
	Model    string
	Reason   string
	Requests int
	// Mean numbers of endpoints and free slots known to the nodes at their decisions.
	Endpoints, FreeSlots float64
	Example              string // id of the first of the requests in the logs
}

// CountLosses counts the lost and late requests by windows of the given length. The result
// is sorted by window, then by number of requests, the largest first. Requests that
// were answered in time are not counted.
func CountLosses(lines []Line, window time.Duration) []Loss {
	zones := map[string]string{}
	var first time.Time
	for _, l := range lines {
		if l.Message == "node starts" {
			zones[l.VM] = l.Zone
		}
		if isEndMessage(l.Message) && (first.IsZero() || l.Time.Before(first)) {
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

// endMessages are the messages of a request's last line.
var endMessages = []string{
	"request done", "request refused", "request cut", "request unknown", "request failed at the endpoint",
}

func isEndMessage(message string) bool { return slices.Contains(endMessages, message) }

// lossReason returns the reason why a request was lost or late. It returns "" if the
// request was answered in time or the line is not a request's last one.
func lossReason(l *Line) string {
	switch l.Message {
	case "request done":
		return lateReason(l)
	case "request refused":
		return "refused: " + l.Kind + knownCausesOf(l)
	case "request cut", "request unknown", "request failed at the endpoint":
		return strings.TrimPrefix(l.Message, "request ") + knownCausesOf(l)
	}
	return ""
}

// lateReason returns the reason why an answered request was late or its client left,
// or "".
func lateReason(l *Line) string {
	switch {
	case l.Result == "client_gone":
		return "the client left" + knownCausesOf(l)
	case l.ObjectiveMS > 0 && l.FirstMS > l.ObjectiveMS && len(l.Tried) > 1:
		return "late: tried more than one endpoint" + knownCausesOf(l)
	case l.ObjectiveMS > 0 && l.FirstMS > l.ObjectiveMS:
		return "late: the first event"
	case l.GapAimMS > 0 && l.GapMS > l.GapAimMS:
		return "late: a pause between events"
	}
	return ""
}

// knownCauses are the parts of a logged cause that become part of the reason. The rest is
// dropped: with ids and addresses in it, each request would have a reason of its own.
var knownCauses = []string{
	"every endpoint is full", "no endpoint serves", "the request was not sent", "endpoint refused: status 503",
	"endpoint refused: status 421", "endpoint answered 500", "i/o timeout", "connection reset", "unexpected EOF",
	"the client had left", "the time was over",
}

// knownCausesOf returns the known parts of the line's cause in parentheses, or "".
func knownCausesOf(l *Line) string {
	var found []string
	for _, c := range knownCauses {
		if strings.Contains(l.Cause, c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return " (" + strings.Join(found, "; ") + ")"
}

// PrintLosses writes the losses as a text table.
func PrintLosses(w io.Writer, losses []Loss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FROM\tREQUESTS\tREASON\tROUTE\tMODEL\tZONE\tENDPOINTS\tFREE SLOTS\tEXAMPLE")
	for _, l := range losses {
		fmt.Fprintf(t, "%v\t%d\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%s\n",
			l.Window, l.Requests, l.Reason, l.Route, l.Model, l.Zone, l.Endpoints, l.FreeSlots, l.Example)
	}
	return t.Flush()
}
