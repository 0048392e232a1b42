package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// refreshInterval is the interval at which an unchanged item is sent in
	// full, for nodes that missed it.
	refreshInterval = 30 * time.Second
	// loadRefreshInterval is the same for an unchanged load.
	loadRefreshInterval = 2 * time.Second
	// maxLeavingSends is how often the node that detected a leaving endpoint
	// sends the mark: messages may be lost.
	maxLeavingSends = 3
	// maxItemsPerDigest bounds each list in a digest.
	maxItemsPerDigest = 256
)

// DigestProducer decides what a node sends to its peers. It is a pure state machine,
// not safe for concurrent use. A node uses one for the peers of its own zone
// and another for those of other zones.
type DigestProducer struct {
	startedAt    clock.Instant
	nextRegular  clock.Instant // of the next regular digest
	endpoints    map[fleet.VM]sentItem
	loads        map[fleet.VM]sentLoad
	rows         map[fleet.GroupID]sentItem
	leavingSends map[leavingKey]int
	remote       bool
}

// sentItem is the hash and time of the last full send of a subject.
type sentItem struct {
	hash uint64
	at   clock.Instant
}

type sentLoad struct {
	load fleet.Load
	at   clock.Instant
}

type leavingKey struct {
	vm   fleet.VM
	boot fleet.BootID
}

// Duties determines which subjects a node reports on.
type Duties interface {
	// Watches reports whether this node is one of the watchers of the subject,
	// a VM or a group of its zone.
	Watches(subject string) bool
	// IsFirstWatcher reports whether this node is the first of the subject's watchers.
	// Only the first reports to other zones: they decide nothing on the
	// freshness of its reports alone.
	IsFirstWatcher(subject string) bool
	// HoldsLease reports whether this node holds the lease of its zone's groups.
	HoldsLease() bool
}

// NewDigestProducer returns a digest producer for the peers of other zones if remote is
// set, else for those of the own zone.
func NewDigestProducer(remote bool, now clock.Instant) *DigestProducer {
	return &DigestProducer{
		startedAt: now, remote: remote,
		endpoints: map[fleet.VM]sentItem{}, loads: map[fleet.VM]sentLoad{},
		rows: map[fleet.GroupID]sentItem{}, leavingSends: map[leavingKey]int{},
	}
}

// Next returns the messages to send now: changes at once, and once per interval
// the ages of what is unchanged. Most calls return nothing.
func (t *DigestProducer) Next(s *Snapshot, d Duties, now clock.Instant, every time.Duration) [][]byte {
	regular := !now.Before(t.nextRegular)
	b := &digestBuilder{t: t, now: now, regular: regular}
	if regular {
		t.nextRegular = now.Add(every)
	}
	if t.remote {
		b.addSummaries(s, d)
	} else {
		b.addGroupRows(s, d)
	}
	b.addEndpoints(s, d)
	b.addLeavingMarks(s)
	return b.messages()
}

// Full returns the full state of what this node watches, for a new peer.
func (t *DigestProducer) Full(s *Snapshot, d Duties, now clock.Instant) [][]byte {
	fresh := NewDigestProducer(t.remote, t.startedAt)
	return fresh.Next(s, d, now, time.Second)
}

// digestBuilder collects the contents of one round of digests.
type digestBuilder struct {
	t       *DigestProducer
	now     clock.Instant
	regular bool
	out     digest
}

// addEndpoints adds the watched VMs: engines and services for the own zone, but
// only services for other zones, which reach engines through their groups.
func (b *digestBuilder) addEndpoints(s *Snapshot, d Duties) {
	for i := range s.VMs {
		v := &s.VMs[i]
		r := &v.Record
		if r.Zone != s.Zone || r.Kind == fleet.KindEntry || b.t.remote && r.Kind != fleet.KindService {
			continue
		}
		if !d.Watches(string(r.VM)) || b.t.remote && !d.IsFirstWatcher(string(r.VM)) {
			continue
		}
		b.addEndpointOrUpdate(v)
		if b.regular {
			b.addLoad(v)
		}
	}
}

func (b *digestBuilder) addEndpointOrUpdate(v *VM) {
	vm := v.Record.VM
	p := &v.Probe
	hash := stateHash(&p.State) ^ uint64(boolBit(v.Leaving)) ^ uint64(boolBit(p.FailingSince != 0))<<1
	last, known := b.t.endpoints[vm]
	if !known || last.hash != hash || b.regular && b.now.Sub(last.at) >= refreshInterval {
		b.t.endpoints[vm] = sentItem{hash, b.now}
		b.addEndpoint(v)
	} else if b.regular && p.FailingSince == 0 && p.AnsweredAt != 0 {
		b.out.Unchanged = append(b.out.Unchanged, wireUnchanged{VM: shortHash(string(vm)), Hash: stateHash(&p.State), Age: ageMillis(b.now, p.AnsweredAt)})
	}
	if p.FailingSince != 0 && (b.regular || !known || last.hash != hash) {
		b.out.Failing = append(b.out.Failing, wireFailing{VM: shortHash(string(vm)), Age: ageMillis(b.now, p.FailingSince), Failures: p.Failures})
	}
}

func (b *digestBuilder) addEndpoint(v *VM) {
	p := &v.Probe
	f := wireEndpoint{State: toWireState(&p.State), Leaving: v.Leaving && p.State.Boot != "", Answered: p.AnsweredAt != 0}
	f.State.VM = v.Record.VM
	if f.Answered {
		f.Age = ageMillis(b.now, p.AnsweredAt)
		f.RTT = uint32(p.RTT / time.Microsecond)
	}
	b.out.Endpoints = append(b.out.Endpoints, f)
}

// addLoad adds the load of an endpoint that receives requests if it differs
// from the one last sent.
func (b *digestBuilder) addLoad(v *VM) {
	st := &v.Probe.State
	if v.Load.Sequence == 0 || v.Record.Kind == fleet.KindEngine && (st.Group == "" || st.Rank != 0) {
		return
	}
	last, known := b.t.loads[v.Record.VM]
	same := known && last.load.Boot == v.Load.Boot && last.load.Running == v.Load.Running && last.load.Waiting == v.Load.Waiting
	if same && b.now.Sub(last.at) < loadRefreshInterval {
		return
	}
	b.t.loads[v.Record.VM] = sentLoad{v.Load, b.now}
	b.out.Loads = append(b.out.Loads, toWireLoad(&v.Load, v.LoadAt, b.now))
}

// addGroupRows adds the rows of the zone's groups. The lease holder sends rows
// as soon as it has written them, a group's watchers send the rows that they
// have read or received.
func (b *digestBuilder) addGroupRows(s *Snapshot, d Duties) {
	holds := d.HoldsLease()
	for i := range s.Groups {
		g := &s.Groups[i]
		if g.Zone != s.Zone {
			continue
		}
		watches := d.Watches(string(g.ID))
		if !holds && !watches {
			continue
		}
		last, known := b.t.rows[g.ID]
		changed := !known || last.hash != g.RowVersion
		if !changed && !(watches && b.regular && b.now.Sub(last.at) >= refreshInterval) {
			continue
		}
		b.t.rows[g.ID] = sentItem{g.RowVersion, b.now}
		b.out.Rows = append(b.out.Rows, wireRow{Version: g.RowVersion, Group: toWireGroup(&g.Group, len(g.Members))})
	}
}

// addSummaries adds summaries of the zone's groups for other zones.
func (b *digestBuilder) addSummaries(s *Snapshot, d Duties) {
	for i := range s.Groups {
		g := &s.Groups[i]
		if g.Zone != s.Zone || !d.IsFirstWatcher(string(g.ID)) {
			continue
		}
		w := b.buildSummary(g)
		hash := uint64(w.State.Hash)<<1 | uint64(boolBit(g.Whole))
		last, known := b.t.rows[g.ID]
		switch {
		case !known || last.hash != hash || b.regular && b.now.Sub(last.at) >= refreshInterval:
			b.t.rows[g.ID] = sentItem{hash, b.now}
			b.out.Groups = append(b.out.Groups, w)
		case b.regular:
			b.out.SummaryUpdates = append(b.out.SummaryUpdates, w.State)
		}
	}
}

func (b *digestBuilder) buildSummary(g *Group) wireSummary {
	w := wireSummary{Version: g.RowVersion, Group: toWireGroup(&g.Group, 1), Fault: g.Reason}
	w.Group.Reason = ""
	w.State = wireSummaryState{
		ID: shortHash(string(g.ID)), Hash: summaryHash(&w), Whole: g.Whole,
		Running: g.Load.Running, Waiting: g.Load.Waiting, Slots: g.Load.Slots,
	}
	if g.FreshUntil.After(b.now) {
		w.State.FreshFor = uint32(g.FreshUntil.Sub(b.now) / time.Millisecond)
	}
	if g.LoadAt != 0 {
		w.State.LoadAge = ageMillis(b.now, g.LoadAt)
	}
	return w
}

// addLeavingMarks adds the endpoints that this node itself found to be leaving,
// from an operator, the platform's list or a refusal.
func (b *digestBuilder) addLeavingMarks(s *Snapshot) {
	for _, k := range s.leavingMarks {
		n := b.t.leavingSends[k]
		if n >= maxLeavingSends || n > 0 && !b.regular {
			continue
		}
		b.t.leavingSends[k] = n + 1
		b.out.LeavingMarks = append(b.out.LeavingMarks, wireLeavingMark{VM: k.vm, Boot: k.boot})
	}
}

// messages encodes the collected items, split into messages of bounded size.
func (b *digestBuilder) messages() [][]byte {
	d := &b.out
	uptime := uint64(b.now.Sub(b.t.startedAt) / time.Millisecond)
	var out [][]byte
	for {
		part := digest{
			Uptime:    uptime,
			Endpoints: takeFront(&d.Endpoints), Unchanged: takeFront(&d.Unchanged), Failing: takeFront(&d.Failing), Loads: takeFront(&d.Loads),
			Rows: takeFront(&d.Rows), Groups: takeFront(&d.Groups), SummaryUpdates: takeFront(&d.SummaryUpdates), LeavingMarks: takeFront(&d.LeavingMarks),
		}
		if part.empty() {
			return out
		}
		out = append(out, encode(&part))
	}
}

func (d *digest) empty() bool {
	return len(d.Endpoints)+len(d.Unchanged)+len(d.Failing)+len(d.Loads)+len(d.Rows)+len(d.Groups)+len(d.SummaryUpdates)+len(d.LeavingMarks) == 0
}

// takeFront removes up to maxItemsPerDigest items from the front of list and
// returns them.
func takeFront[T any](list *[]T) []T {
	n := min(len(*list), maxItemsPerDigest)
	head := (*list)[:n]
	*list = (*list)[n:]
	return head
}
