package formation

import (
	"math"

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
