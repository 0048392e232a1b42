package entry

import (
	"fmt"

	"chervilloom/internal/catalog"
)

// Contention determines for which services with engines rank and expected time decide about
// requests and groups.
type Contention string

// The values of Contention.
const (
	ContentionAuto Contention = "auto" // services whose streams' routes differ in rank
	ContentionOn   Contention = "on"   // all services with engines
	ContentionOff  Contention = "off"  // no service
)

// ParseContention returns the value named by text; an empty text means ContentionAuto.
func ParseContention(text string) (Contention, error) {
	switch c := Contention(text); c {
	case "":
		return ContentionAuto, nil
	case ContentionAuto, ContentionOn, ContentionOff:
		return c, nil
	}
	return "", fmt.Errorf("contention is %q; write auto, on or off", text)
}

// appliesTo reports whether rank and expected time decide about a service's requests.
func (c Contention) appliesTo(cat *catalog.Catalog, service string) bool {
	s := cat.Service(service)
	if s == nil || s.Engine == nil || c == ContentionOff {
		return false
	}
	return c == ContentionOn || cat.HasRankedRoutes(service)
}

// isContended reports the same for the configuration in force.
func (n *Node) isContended(service string) bool {
	cat := n.config.current.Load()
	return cat != nil && n.Contention.appliesTo(cat, service)
}

// warnInvalidRanks logs the services with engines for which an invalid rank is declared.
func (w *configWatcher) warnInvalidRanks(c *catalog.Catalog) {
	if names := c.InvalidRanks(); len(names) > 0 {
		w.log.Warn("rank is invalid; requests of the services are treated alike", "version", c.Version, "services", names, "most", catalog.MaxRank)
	}
}
