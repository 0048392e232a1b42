package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// agePrecision is the precision of displayed ages.
const agePrecision = 10 * time.Millisecond

func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(agePrecision).String()
}

// writeTable writes a title, a header and rows in aligned columns.
func writeTable(w io.Writer, title string, header []string, rows [][]string) {
	fmt.Fprintf(w, "\n%s\n", title)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "  "+strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(tw, "  "+strings.Join(r, "\t"))
	}
	tw.Flush()
}

// WriteStatus writes s as text for the command line.
func WriteStatus(w io.Writer, s Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.NotReady
	}
	fmt.Fprintf(w, "node %s in %s, %s, revision %d, view %s old\n", s.Node, s.Zone, ready, s.Revision, formatAge(s.ViewAge))
	reach := "reachable"
	if !s.Platform.Reachable {
		reach = "not reachable: nothing is claimed, formed or accepted; what is formed goes on serving"
	}
	fmt.Fprintf(w, "platform %s, last answer %s ago\n", reach, formatAge(s.Platform.LastSeen))
	writeGroups(w, s.Groups)
	writeEndpoints(w, s)
	writeNodes(w, s.Nodes)
	writeDuties(w, s.Duties)
	writeLimits(w, s.Limits)
}

func writeGroups(w io.Writer, groups []GroupStatus) {
	var rows [][]string
	for _, g := range groups {
		state := "whole"
		if !g.Whole {
			state = g.Reason
		}
		rows = append(rows, []string{
			g.Group, fmt.Sprint(g.Generation), g.Phase, g.Zone, g.Model,
			fmt.Sprint(len(g.VMs)), fmt.Sprintf("%d+%d", g.Running, g.Waiting), formatAge(g.LoadAge), state,
		})
	}
	writeTable(w, "groups", []string{"GROUP", "GEN", "PHASE", "ZONE", "MODEL", "VMS", "RUN+WAIT", "LOAD AGE", "STATE"}, rows)
}

func writeEndpoints(w io.Writer, s Status) {
	var rows [][]string
	for _, e := range s.Endpoints {
		rows = append(rows, []string{e.VM, e.Kind, e.Zone, e.Domain, e.State, e.Group, formatAge(e.SeenAgo)})
	}
	title := fmt.Sprintf("endpoints (%d engines free)", s.FreeEngines)
	writeTable(w, title, []string{"VM", "KIND", "ZONE", "DOMAIN", "STATE", "GROUP", "SEEN AGO"}, rows)
}

func writeNodes(w io.Writer, nodes []NodeStatus) {
	var rows [][]string
	for _, n := range nodes {
		state := n.State
		if n.Draining {
			state += ", draining"
		}
		rows = append(rows, []string{n.Node, n.Zone, state, fmt.Sprint(n.Revision), formatAge(n.Heard)})
	}
	writeTable(w, "nodes", []string{"NODE", "ZONE", "STATE", "REVISION", "HEARD AGO"}, rows)
}

func writeDuties(w io.Writer, duties []DutyStatus) {
	var rows [][]string
	for _, d := range duties {
		held := "no"
		if d.Held {
			held = "yes, " + formatAge(d.Left) + " left"
		}
		rows = append(rows, []string{d.Duty, d.Owner, fmt.Sprint(d.Fence), held})
	}
	writeTable(w, "duties", []string{"DUTY", "OWNER", "FENCE", "HELD HERE"}, rows)
}

func writeLimits(w io.Writer, limits []LimitStatus) {
	var rows [][]string
	for _, l := range limits {
		rows = append(rows, []string{l.Organisation, fmt.Sprint(l.Weight), formatLimit(l.Rate, l.RateShare), formatLimit(l.Lookups, l.LookupsShare)})
	}
	writeTable(w, "organisations", []string{"ORGANISATION", "WEIGHT", "MODEL REQUESTS", "PLAIN CALLS"}, rows)
}

func formatLimit(limit, share float64) string {
	if limit == 0 {
		return "no cap"
	}
	return fmt.Sprintf("%g/s, %.0f%% here", limit, 100*share)
}

// WriteExplanation writes e as text for the command line.
func WriteExplanation(w io.Writer, e Explanation) {
	fmt.Fprintf(w, "%s\n", e.Subject)
	for _, s := range e.Steps {
		fmt.Fprintf(w, "  %s  %s  %s: %s", s.At.Format("15:04:05.000"), s.Node, s.Stage, s.Decision)
		if s.Reason != "" {
			fmt.Fprintf(w, ", because %s", s.Reason)
		}
		fmt.Fprintln(w)
		for _, f := range s.Facts {
			fmt.Fprintf(w, "      %s = %s", f.Name, f.Value)
			if f.Age > 0 {
				fmt.Fprintf(w, " (%s old)", formatAge(f.Age))
			}
			fmt.Fprintln(w)
		}
	}
	if len(e.Unreached) > 0 {
		fmt.Fprintf(w, "nodes that did not answer, their steps are missing: %s\n", strings.Join(e.Unreached, ", "))
	}
}

// WriteApply writes the accepted revision, the problems or the conflicting
// changes of r.
func WriteApply(w io.Writer, r ApplyResult) {
	if r.State == ApplyAccepted {
		fmt.Fprintf(w, "accepted as revision %d\n", r.Revision)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, p)
	}
	if len(r.Changes) > 0 {
		fmt.Fprintln(w, "changed since the base revision:")
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, "  "+c)
	}
}

// WriteHistory writes the revisions as a table.
func WriteHistory(w io.Writer, h []Revision) {
	var rows [][]string
	for _, r := range h {
		rows = append(rows, []string{fmt.Sprint(r.Number), r.Time.Format(time.RFC3339), r.Author, r.Hash})
	}
	writeTable(w, "revisions", []string{"REVISION", "ACCEPTED", "BY", "HASH"}, rows)
}
