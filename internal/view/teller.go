package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// refreshEvery is how often a fact that did not change is told whole, for
	// nodes that missed it.
	refreshEvery = 30 * time.Second
	// loadRefresh is the same for a load.
	loadRefresh = 2 * time.Second
	// leavingTellings is how often a leaving endpoint is told by the node that
	// learned of it: messages may be lost.
	leavingTellings = 3
	// maxFacts bounds what goes into one message.
	maxFacts = 256
)

// Teller decides what a node tells its peers. It is a pure state machine, not
// safe for concurrent use; one tells the nodes of the own zone, another those
// of other zones.
type Teller struct {
	born   clock.Instant
	due    clock.Instant // of the next regular digest
	facts  map[fleet.VM]told
	loads  map[fleet.VM]toldLoad
	rows   map[fleet.GroupID]told
	marks  map[leavingKey]int
	remote bool
}

// told is what was last told whole of a subject.
type told struct {
	hash uint64
	at   clock.Instant
}

type toldLoad struct {
	load fleet.Load
	at   clock.Instant
}

type leavingKey struct {
	vm   fleet.VM
	boot fleet.BootID
}

// Duties says which subjects a node tells of.
type Duties interface {
	// Watches reports whether this node is one of those that watch the subject,
	// a VM or a group of its zone.
	Watches(subject string) bool
	// Leads reports whether this node comes first among them. It alone tells
	// other zones, which decide nothing on their own freshness.
	Leads(subject string) bool
	// Holds reports whether this node holds the lease of its zone's groups.
	Holds() bool
}

// NewTeller returns a teller for the own zone's nodes or for those of others.
func NewTeller(remote bool, now clock.Instant) *Teller {
	return &Teller{
		born: now, remote: remote,
		facts: map[fleet.VM]told{}, loads: map[fleet.VM]toldLoad{},
		rows: map[fleet.GroupID]told{}, marks: map[leavingKey]int{},
	}
}

// Next returns the messages to send now: what changed, and once every interval
// the ages of what did not. Most calls return nothing.
func (t *Teller) Next(s *Snapshot, d Duties, now clock.Instant, every time.Duration) [][]byte {
	regular := !now.Before(t.due)
	b := &digestBuilder{t: t, now: now, regular: regular}
	if regular {
		t.due = now.Add(every)
	}
	if t.remote {
		b.summaries(s, d)
	} else {
		b.groupRows(s, d)
	}
	b.endpoints(s, d)
	b.leavings(s)
	return b.messages()
}

// All returns everything that this node watches, for a peer that is new.
func (t *Teller) All(s *Snapshot, d Duties, now clock.Instant) [][]byte {
	fresh := NewTeller(t.remote, t.born)
	return fresh.Next(s, d, now, time.Second)
}

// digestBuilder collects one round.
type digestBuilder struct {
	t       *Teller
	now     clock.Instant
	regular bool
	out     digest
}

// endpoints tells of watched VMs: engines and services to the own zone, services
// alone to others, which reach engines through their groups.
func (b *digestBuilder) endpoints(s *Snapshot, d Duties) {
	for i := range s.VMs {
		v := &s.VMs[i]
		r := &v.Record
		if r.Zone != s.Zone || r.Kind == fleet.KindEntry || b.t.remote && r.Kind != fleet.KindService {
			continue
		}
		if !d.Watches(string(r.VM)) || b.t.remote && !d.Leads(string(r.VM)) {
			continue
		}
		b.endpoint(v)
		if b.regular {
			b.load(v)
		}
	}
}

func (b *digestBuilder) endpoint(v *VM) {
	vm := v.Record.VM
	p := &v.Probe
	hash := stateHash(&p.State) ^ uint64(bit(v.Leaving)) ^ uint64(bit(p.Failing != 0))<<1
	last, known := b.t.facts[vm]
	if !known || last.hash != hash || b.regular && b.now.Sub(last.at) >= refreshEvery {
		b.t.facts[vm] = told{hash, b.now}
		b.fact(v)
	} else if b.regular && p.Failing == 0 && p.Answered != 0 {
		b.out.Same = append(b.out.Same, wireSame{VM: shortHash(string(vm)), Hash: stateHash(&p.State), Age: millis(b.now, p.Answered)})
	}
	if p.Failing != 0 && (b.regular || !known || last.hash != hash) {
		b.out.Failing = append(b.out.Failing, wireFailing{VM: shortHash(string(vm)), Age: millis(b.now, p.Failing), Failures: p.Failures})
	}
}

func (b *digestBuilder) fact(v *VM) {
	p := &v.Probe
	f := wireFact{State: toWireState(&p.State), Leaving: v.Leaving && p.State.Boot != "", Answered: p.Answered != 0}
	f.State.VM = v.Record.VM
	if f.Answered {
		f.Age = millis(b.now, p.Answered)
		f.RTT = uint32(p.RTT / time.Microsecond)
	}
	b.out.Facts = append(b.out.Facts, f)
}

// load tells a load that differs from the one told last, of the endpoints that
// take requests.
func (b *digestBuilder) load(v *VM) {
	st := &v.Probe.State
	if v.Load.Sequence == 0 || v.Record.Kind == fleet.KindEngine && (st.Group == "" || st.Rank != 0) {
		return
	}
	last, known := b.t.loads[v.Record.VM]
	same := known && last.load.Boot == v.Load.Boot && last.load.Running == v.Load.Running && last.load.Waiting == v.Load.Waiting
	if same && b.now.Sub(last.at) < loadRefresh {
		return
	}
	b.t.loads[v.Record.VM] = toldLoad{v.Load, b.now}
	b.out.Loads = append(b.out.Loads, toWireLoad(&v.Load, v.LoadAt, b.now))
}

// groupRows tells the rows of the zone's groups: the holder of the lease as soon
// as it has written them, the watchers of a group what they learned.
func (b *digestBuilder) groupRows(s *Snapshot, d Duties) {
	holds := d.Holds()
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
		if !changed && !(watches && b.regular && b.now.Sub(last.at) >= refreshEvery) {
			continue
		}
		b.t.rows[g.ID] = told{g.RowVersion, b.now}
		b.out.Rows = append(b.out.Rows, wireRow{Version: g.RowVersion, Group: toWireGroup(&g.Group, len(g.Members))})
	}
}

// summaries tells of the zone's groups what other zones need.
func (b *digestBuilder) summaries(s *Snapshot, d Duties) {
	for i := range s.Groups {
		g := &s.Groups[i]
		if g.Zone != s.Zone || !d.Leads(string(g.ID)) {
			continue
		}
		w := b.summary(g)
		hash := uint64(w.State.Hash)<<1 | uint64(bit(g.Whole))
		last, known := b.t.rows[g.ID]
		switch {
		case !known || last.hash != hash || b.regular && b.now.Sub(last.at) >= refreshEvery:
			b.t.rows[g.ID] = told{hash, b.now}
			b.out.Groups = append(b.out.Groups, w)
		case b.regular:
			b.out.Unmoved = append(b.out.Unmoved, w.State)
		}
	}
}

func (b *digestBuilder) summary(g *Group) wireSummary {
	w := wireSummary{Version: g.RowVersion, Group: toWireGroup(&g.Group, 1), Fault: g.Reason}
	w.Group.Reason = ""
	w.State = wireUnmoved{
		ID: shortHash(string(g.ID)), Hash: summaryHash(&w), Whole: g.Whole,
		Running: g.Load.Running, Waiting: g.Load.Waiting, Slots: g.Load.Slots,
	}
	if g.FreshUntil.After(b.now) {
		w.State.Fresh = uint32(g.FreshUntil.Sub(b.now) / time.Millisecond)
	}
	if g.LoadAt != 0 {
		w.State.LoadAge = millis(b.now, g.LoadAt)
	}
	return w
}

// leavings tells of endpoints that this node itself learned to be leaving: from
// an operator, the platform's list or a refusal.
func (b *digestBuilder) leavings(s *Snapshot) {
	for _, k := range s.leavings {
		n := b.t.marks[k]
		if n >= leavingTellings || n > 0 && !b.regular {
			continue
		}
		b.t.marks[k] = n + 1
		b.out.Leavings = append(b.out.Leavings, wireLeaving{VM: k.vm, Boot: k.boot})
	}
}

// messages encodes what was collected, split so that no message grows without
// bound.
func (b *digestBuilder) messages() [][]byte {
	d := &b.out
	uptime := uint64(b.now.Sub(b.t.born) / time.Millisecond)
	var out [][]byte
	for {
		part := digest{
			Uptime: uptime,
			Facts:  cut(&d.Facts), Same: cut(&d.Same), Failing: cut(&d.Failing), Loads: cut(&d.Loads),
			Rows: cut(&d.Rows), Groups: cut(&d.Groups), Unmoved: cut(&d.Unmoved), Leavings: cut(&d.Leavings),
		}
		if part.empty() {
			return out
		}
		out = append(out, encode(&part))
	}
}

func (d *digest) empty() bool {
	return len(d.Facts)+len(d.Same)+len(d.Failing)+len(d.Loads)+len(d.Rows)+len(d.Groups)+len(d.Unmoved)+len(d.Leavings) == 0
}

// cut takes up to maxFacts from the front.
func cut[T any](list *[]T) []T {
	n := min(len(*list), maxFacts)
	head := (*list)[:n]
	*list = (*list)[n:]
	return head
}
