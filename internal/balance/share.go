package balance

import (
	"chervilloom/internal/board"
)

// Changes returns the number of starts and ends of requests so far.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// ReportInFlight returns this node's requests in flight at each endpoint, and records them as reported.
func (t *Tracker) ReportInFlight() []board.HeadLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []board.HeadLoad
	for id, r := range t.records {
		r.reportedInFlight = r.inFlight
		if r.inFlight > 0 {
			out = append(out, board.HeadLoad{ID: id, Requests: r.inFlight, Unread: r.unread.own})
		}
	}
	return out
}

// ApplyBoard applies the number of requests that all nodes of a zone have in flight at a head.
func (t *Tracker) ApplyBoard(c board.HeadLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.record(c.ID)
	r.othersLoad, r.unconfirmedLoad, r.reportedAt = float64(max(0, c.Requests-r.reportedInFlight)), 0, now
	r.unread.others, r.unread.reportedAt = float64(max(0, c.Unread-r.unread.own)), now
}
