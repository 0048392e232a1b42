package balance

import (
	"time"

	"chervilloom/internal/board"
)

// Changes returns the number of starts and ends of requests so far.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// ReportInFlight returns this node's requests in flight at each endpoint with the gaps measured
// there, and records them as reported.
func (t *Tracker) ReportInFlight() []board.HeadLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	var out []board.HeadLoad
	for id, r := range t.records {
		r.reportedInFlight = r.inFlight
		if r.inFlight > 0 {
			out = append(out, board.HeadLoad{ID: id, Requests: r.inFlight, Unread: r.unread.own, Gap: roundGap(r.recentGap.at(r, now))})
		}
	}
	return out
}

// ApplyBoard applies the number of requests that all nodes of a zone have in flight at a head, and the
// head's gap and pace if the board has them.
func (t *Tracker) ApplyBoard(c board.HeadLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.boardAt = now
	r := t.record(c.ID)
	r.othersLoad, r.unconfirmedLoad, r.reportedAt = float64(max(0, c.Requests-r.reportedInFlight)), 0, now
	r.unread.others, r.unread.reportedAt = float64(max(0, c.Unread-r.unread.own)), now
	if c.Gap > 0 {
		r.zoneGap, r.zoneGapAt, r.zoneGapLoad = time.Duration(c.Gap)*time.Millisecond, now, float64(c.Requests)
	}
	r.pace, r.paceAt = max(1, c.Pace), now // the sender omits a pace of 1 or less
}
