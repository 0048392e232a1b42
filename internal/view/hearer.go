package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// lagCreep is how fast the shortest known delay of a sender is let grow, to
// follow clocks that run at different rates: 0.2 ms in a second.
const lagCreep = 5000

// Hearer turns peers' messages into events. It is not safe for concurrent use.
type Hearer struct {
	senders map[fleet.VM]*sender
}

// sender is what is known of the delay of one peer's messages.
type sender struct {
	life  fleet.Incarnation
	base  time.Duration // smallest of receipt minus uptime
	heard clock.Instant
}

// NewHearer returns a hearer that has heard nobody.
func NewHearer() *Hearer { return &Hearer{senders: map[fleet.VM]*sender{}} }

// Heard is what a message stands for.
type Heard struct {
	Events   []Event
	WantList bool // the sender asks for the list of VMs
	WantAll  bool // the sender asks for all that this node tells
}

// Hear reads a message.
func (h *Hearer) Hear(from fleet.Node, payload []byte, now clock.Instant) (Heard, error) {
	d, err := decode(payload)
	if err != nil {
		return Heard{}, err
	}
	// A message that was held up on its way would make old facts look fresh. The
	// sender's uptime shows how much longer than the quickest it took.
	e := &hearing{from: from.VM, now: now, sent: now.Add(-h.held(from, d.Uptime, now))}
	e.take(d)
	return Heard{Events: e.events, WantList: d.WantList, WantAll: d.WantAll}, nil
}

// held returns how much longer than the sender's quickest message this one took.
func (h *Hearer) held(from fleet.Node, uptime uint64, now clock.Instant) time.Duration {
	offset := time.Duration(now) - time.Duration(uptime)*time.Millisecond
	s := h.senders[from.VM]
	if s == nil || s.life != from.Incarnation {
		if s != nil && s.life > from.Incarnation {
			return forgetAfter // a message of an earlier life: nothing in it is fresh
		}
		h.senders[from.VM] = &sender{from.Incarnation, offset, now}
		return 0
	}
	s.base += now.Sub(s.heard) / lagCreep
	s.heard = now
	s.base = min(s.base, offset)
	return offset - s.base
}

type hearing struct {
	from   fleet.VM
	now    clock.Instant
	sent   clock.Instant
	events []Event
}

func (h *hearing) ago(ms uint32) clock.Instant {
	return h.sent.Add(-time.Duration(ms) * time.Millisecond)
}

func (h *hearing) put(e Event) { h.events = append(h.events, e) }

func (h *hearing) take(d *digest) {
	for i := range d.Facts {
		h.fact(&d.Facts[i])
	}
	for _, s := range d.Same {
		h.put(toldProbe{kind: toldSame, vm: s.VM, from: h.from, heard: h.now, hash: s.Hash, at: h.ago(s.Age)})
	}
	for _, f := range d.Failing {
		h.put(toldProbe{kind: toldFailing, vm: f.VM, from: h.from, heard: h.now, at: h.ago(f.Age), failures: f.Failures})
	}
	for i := range d.Loads {
		h.put(toldOfLoad{from: h.from, at: h.sent, load: d.Loads[i]})
	}
	for i := range d.Rows {
		h.put(toldRow{from: h.from, at: h.now, row: TableGroup{Group: d.Rows[i].Group.group(), Version: d.Rows[i].Version}})
	}
	for i := range d.Groups {
		h.summary(&d.Groups[i])
	}
	for _, u := range d.Unmoved {
		h.put(unmoved{from: h.from, heard: h.now, sent: h.sent, state: u})
	}
	if len(d.Records) > 0 {
		h.list(d)
	}
	for _, l := range d.Leavings {
		h.put(MarkLeaving{VM: l.VM, Boot: l.Boot, From: h.from, Reason: "told by " + string(h.from)})
	}
}

func (h *hearing) list(d *digest) {
	records := make([]fleet.Record, len(d.Records))
	for i := range d.Records {
		records[i] = d.Records[i].record()
	}
	h.put(toldList{from: h.from, list: List{At: h.ago(d.ListAge), Records: records}})
}

func (h *hearing) fact(f *wireFact) {
	if f.Answered {
		h.put(Probed{
			VM: f.State.VM, From: h.from, Sent: h.ago(f.Age), RTT: time.Duration(f.RTT) * time.Microsecond,
			Answered: true, State: f.State.state(),
		})
	}
	if f.Leaving {
		h.put(MarkLeaving{VM: f.State.VM, Boot: f.State.Boot, From: h.from, Reason: "told by " + string(h.from)})
	}
}

func (h *hearing) summary(w *wireSummary) {
	g := Group{Group: w.Group.group(), RowVersion: w.Version, Reason: w.Fault}
	w.State.apply(&g, h.sent)
	h.put(remoteSummary{group: g, hash: w.State.Hash, heard: h.now})
}

// apply fills in what changes all the time.
func (u *wireUnmoved) apply(g *Group, sent clock.Instant) {
	g.Whole = u.Whole
	g.FreshUntil = sent.Add(time.Duration(u.Fresh) * time.Millisecond)
	g.Load.Running, g.Load.Waiting, g.Load.Slots = u.Running, u.Waiting, u.Slots
	g.LoadAt = sent.Add(-time.Duration(u.LoadAge) * time.Millisecond)
}
