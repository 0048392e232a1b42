package balance

import (
	"chervilloom/internal/board"
)

// Changes counts the starts and ends of requests.
func (t *Tracker) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Tell returns what this node has in flight, and notes that it is told.
func (t *Tracker) Tell() []board.Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []board.Count
	for id, r := range t.known {
		r.told = r.inFlight
		if r.inFlight > 0 {
			out = append(out, board.Count{ID: id, Requests: r.inFlight, Unread: r.unread.own})
		}
	}
	return out
}

// TakeBoard takes up what all nodes of a zone have in flight at a head.
func (t *Tracker) TakeBoard(c board.Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.record(c.ID)
	r.others, r.placed, r.reported = float64(max(0, c.Requests-r.told)), 0, now
	r.unread.told, r.unread.toldAt = float64(max(0, c.Unread-r.unread.own)), now
}
