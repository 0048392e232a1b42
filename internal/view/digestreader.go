package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// offsetDriftDivisor limits the drift of a sender's minimum offset to elapsed
// time / 5000 (0.2 ms per second), to follow clocks that run at different
// rates.
const offsetDriftDivisor = 5000

// DigestReader decodes peers' digests into events. It is not safe for concurrent use.
type DigestReader struct {
	senders map[fleet.VM]*senderOffset
}

// senderOffset tracks the transit delay of one peer's messages.
type senderOffset struct {
	incarnation fleet.Incarnation
	minOffset   time.Duration // minimum of receive time minus sender uptime
	updatedAt   clock.Instant
}

// NewDigestReader returns a digest reader without known senders.
func NewDigestReader() *DigestReader { return &DigestReader{senders: map[fleet.VM]*senderOffset{}} }

// ReceivedDigest is the decoded content of a digest.
type ReceivedDigest struct {
	Events   []Event
	WantList bool // the sender requests the VM list
	WantFull bool // the sender requests this node's full state
}

// Read decodes a digest that was received now. It returns an error if the
// payload is malformed.
func (h *DigestReader) Read(from fleet.Node, payload []byte, now clock.Instant) (ReceivedDigest, error) {
	d, err := decode(payload)
	if err != nil {
		return ReceivedDigest{}, err
	}
	// A delayed message would make old data look fresh. The sender's uptime
	// shows the delay in excess of its fastest message, which is added to the
	// ages.
	e := &eventCollector{from: from.VM, now: now, sentAt: now.Add(-h.excessDelay(from, d.Uptime, now))}
	e.addDigest(d)
	return ReceivedDigest{Events: e.events, WantList: d.WantList, WantFull: d.WantFull}, nil
}

// excessDelay returns the delay of this message beyond that of the sender's
// fastest message.
func (h *DigestReader) excessDelay(from fleet.Node, uptime uint64, now clock.Instant) time.Duration {
	offset := time.Duration(now) - time.Duration(uptime)*time.Millisecond
	s := h.senders[from.VM]
	if s == nil || s.incarnation != from.Incarnation {
		if s != nil && s.incarnation > from.Incarnation {
			return forgetAfter // sent by an earlier incarnation: treat its contents as expired
		}
		h.senders[from.VM] = &senderOffset{from.Incarnation, offset, now}
		return 0
	}
	s.minOffset += now.Sub(s.updatedAt) / offsetDriftDivisor
	s.updatedAt = now
	s.minOffset = min(s.minOffset, offset)
	return offset - s.minOffset
}

type eventCollector struct {
	from   fleet.VM
	now    clock.Instant
	sentAt clock.Instant
	events []Event
}

func (h *eventCollector) timeOfAge(ms uint32) clock.Instant {
	return h.sentAt.Add(-time.Duration(ms) * time.Millisecond)
}

func (h *eventCollector) add(e Event) { h.events = append(h.events, e) }

func (h *eventCollector) addDigest(d *digest) {
	for i := range d.Endpoints {
		h.addEndpoint(&d.Endpoints[i])
	}
	for _, s := range d.Unchanged {
		h.add(peerProbe{kind: probeUnchanged, vm: s.VM, from: h.from, receivedAt: h.now, hash: s.Hash, at: h.timeOfAge(s.Age)})
	}
	for _, f := range d.Failing {
		h.add(peerProbe{kind: probeFailing, vm: f.VM, from: h.from, receivedAt: h.now, at: h.timeOfAge(f.Age), failures: f.Failures})
	}
	for i := range d.Loads {
		h.add(peerLoad{from: h.from, at: h.sentAt, load: d.Loads[i]})
	}
	for i := range d.Rows {
		h.add(peerGroupRow{from: h.from, at: h.now, row: TableGroup{Group: d.Rows[i].Group.group(), Version: d.Rows[i].Version}})
	}
	for i := range d.Groups {
		h.addSummary(&d.Groups[i])
	}
	for _, u := range d.SummaryUpdates {
		h.add(summaryUpdate{from: h.from, receivedAt: h.now, sentAt: h.sentAt, state: u})
	}
	if len(d.Records) > 0 {
		h.addList(d)
	}
	for _, l := range d.LeavingMarks {
		h.add(MarkLeaving{VM: l.VM, Boot: l.Boot, From: h.from, Reason: "reported by " + string(h.from)})
	}
}

func (h *eventCollector) addList(d *digest) {
	records := make([]fleet.Record, len(d.Records))
	for i := range d.Records {
		records[i] = d.Records[i].record()
	}
	h.add(peerList{from: h.from, list: List{At: h.timeOfAge(d.ListAge), Records: records}})
}

func (h *eventCollector) addEndpoint(f *wireEndpoint) {
	if f.Answered {
		h.add(Probed{
			VM: f.State.VM, From: h.from, Sent: h.timeOfAge(f.Age), RTT: time.Duration(f.RTT) * time.Microsecond,
			Answered: true, State: f.State.state(),
		})
	}
	if f.Leaving {
		h.add(MarkLeaving{VM: f.State.VM, Boot: f.State.Boot, From: h.from, Reason: "reported by " + string(h.from)})
	}
}

func (h *eventCollector) addSummary(w *wireSummary) {
	g := Group{Group: w.Group.group(), RowVersion: w.Version, Reason: w.Fault}
	w.State.applyTo(&g, h.sentAt)
	h.add(remoteSummary{group: g, hash: w.State.Hash, receivedAt: h.now})
}

// applyTo copies the frequently changing fields to g.
func (u *wireSummaryState) applyTo(g *Group, sent clock.Instant) {
	g.Whole = u.Whole
	g.FreshUntil = sent.Add(time.Duration(u.FreshFor) * time.Millisecond)
	g.Load.Running, g.Load.Waiting, g.Load.Slots = u.Running, u.Waiting, u.Slots
	g.LoadAt = sent.Add(-time.Duration(u.LoadAge) * time.Millisecond)
}
