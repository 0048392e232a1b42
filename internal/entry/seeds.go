package entry

import (
	"chervilloom/internal/board"
	"chervilloom/internal/formation"
	"chervilloom/internal/roster"
)

// seededHeads are the heads of a small zone whose seeds were sent.
type seededHeads map[roster.ID]bool

// tenureReports returns the reports of a zone's heads that were read when this node acquired the
// zone's duty; none if no service is contended.
func (n *Node) tenureReports(zone string) []formation.HeadReport {
	if c := n.contendedController(zone); c != nil {
		return c.TenureReports(n.isContended)
	}
	return nil
}

// seedBoards adds to the boards of the zones whose duty this node holds what the zones' heads
// reported when it acquired the duty. Nodes that have all lost power know nothing of the requests
// that the engines still run, and would send to full heads.
func (l *loadExchange) seedBoards() {
	n := l.node
	for _, zone := range n.Settings.Zones {
		if !n.holdsDuty(zone) {
			delete(l.seeded, zone)
			continue
		}
		reports := l.tenureReports(zone)
		switch {
		case len(reports) == 0:
		case n.usesBoard(zone):
			l.seedBoard(zone, reports)
		case n.leaseCache.hasRows(): // the addresses of the zone's nodes are known
			l.sendSeeds(zone, reports)
		}
	}
}

func (l *loadExchange) seedBoard(zone string, reports []formation.HeadReport) {
	b := l.board(zone)
	for _, r := range reports {
		b.Seed(r.ID, r.Requests, engineLoadDecay, r.ReportedAt)
	}
}

// sendSeeds sends each report once to the nodes of a zone without a board, as a part of one. Their
// trackers decay it and add the requests that are reported later.
func (l *loadExchange) sendSeeds(zone string, reports []formation.HeadReport) {
	sent := l.seeded[zone]
	if sent == nil {
		sent = seededHeads{}
		l.seeded[zone] = sent
	}
	var counts []board.HeadLoad
	for _, r := range reports {
		if !sent[r.ID] {
			sent[r.ID] = true
			counts = append(counts, board.HeadLoad{ID: r.ID, Requests: r.Requests})
		}
	}
	if len(counts) > 0 {
		l.publishBoard(zone, counts)
	}
}

// board returns the board of a zone whose duty this node holds, and creates it if needed.
func (l *loadExchange) board(zone string) *board.Board {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.boards[zone]
	if b == nil {
		b = &board.Board{}
		l.boards[zone] = b
	}
	return b
}
