package formation

import (
	"math"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// SlowestPaces returns the pace of the slowest member of each group that has a slow one, by head,
// according to the newest reports, for the services that isWanted selects.
func (c *Controller) SlowestPaces(isWanted func(service string) bool) map[roster.ID]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ledgerLoaded {
		return nil
	}
	out := map[roster.ID]float64{}
	for i := range c.ledger.Groups {
		g := &c.ledger.Groups[i]
		if g.Ending || len(g.Members) == 0 || !isWanted(g.Service) {
			continue
		}
		slowest := 1.0
		for _, id := range g.Members {
			if f := c.engineStates[id]; f != nil && f.ReportedAt != 0 {
				slowest = max(slowest, validPace(f.Report.Pace))
			}
		}
		if slowest > 1 {
			out[g.Head()] = slowest
		}
	}
	return out
}

// validPace returns the pace of a report; an invalid or absent one counts as 1.
func validPace(pace float64) float64 {
	if pace > 1 && !math.IsInf(pace, 1) {
		return pace
	}
	return 1
}

// HeadReport is the number of requests at a group's head according to the head's own report.
type HeadReport struct {
	ID         roster.ID
	Requests   int // running and waiting
	ReportedAt clock.Instant
}

// tenureReportWindow is the time after the beginning of a tenure in which the first reports of all
// engines are read. The next ones follow after probeInterval at the earliest.
const tenureReportWindow = time.Second

// TenureReports returns the reports of the heads of the services that isWanted selects that were
// read when this tenure began.
func (c *Controller) TenureReports(isWanted func(service string) bool) []HeadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ledgerLoaded {
		return nil
	}
	var out []HeadReport
	for i := range c.ledger.Groups {
		g := &c.ledger.Groups[i]
		if g.Ending || len(g.Members) == 0 || !isWanted(g.Service) {
			continue
		}
		f := c.engineStates[g.Head()]
		if f == nil || f.ReportedAt == 0 || f.Report.Member.Group != g.Name || f.ReportedAt.Sub(c.tenureStart) > tenureReportWindow {
			continue
		}
		out = append(out, HeadReport{f.ID, max(0, f.Report.Active) + max(0, f.Report.Queued), f.ReportedAt})
	}
	return out
}
