package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Times of the merged belief.
const (
	// DefaultProbeFresh is the age up to which a probe lets a group serve.
	DefaultProbeFresh = 1500 * time.Millisecond
	// forgetAfter is how long a VM that left the list and answers no probe is
	// still remembered: longer than the list lags.
	forgetAfter = 10 * time.Minute
	// listSettle is how long a doubted life counts as leaving after the list has
	// called it live: longer than the list is behind itself.
	listSettle = 30 * time.Second
	// keptBoots is how many leaving lives are remembered for each VM.
	keptBoots = 4
	// maxLeavings bounds the leaving lives that are still to be told to peers.
	maxLeavings = 64
)

// State is the merged belief. It is a pure state machine: Apply changes it,
// Snapshot reads it. It is not safe for concurrent use.
type State struct {
	self     fleet.Node
	zone     fleet.AvailabilityZone
	revision uint64
	doc      *config.Document
	listAt   clock.Instant
	platform clock.Instant
	vms      map[fleet.VM]*vmState
	groups   map[fleet.GroupID]*groupState
	remote   map[fleet.GroupID]*remoteGroup
	hashes   map[uint32]*vmState // by short hash; nil: to be made again
	// leavings are the newest lives that this node itself learned to be leaving.
	leavings []leavingKey
	// missed holds the peers that spoke of what this node does not know, and when.
	missed map[fleet.VM]clock.Instant
	nodes  []Node
	order  []*vmState // by VM; nil: to be sorted again
}

type vmState struct {
	record      fleet.Record
	listed      bool
	listLeaving bool
	unlisted    clock.Instant
	probe       Probe
	load        fleet.Load
	loadAt      clock.Instant
	claim       *Claim
	// leaving holds the lives that were said to be leaving, oldest first. A
	// lagging list that calls the VM live again must not bring them back.
	leaving []fleet.BootID
	// pending: said to be leaving before any life was known.
	pending bool
	// doubted is a life that was first heard of when the list already called the
	// VM leaving: the list may mean it, or lag and mean the one before. It counts
	// as leaving while the list says so and until doubtUntil. Marked for good, a
	// VM that has restarted would never be used again; not doubted at all, a list
	// that flips back would bring a leaving endpoint back.
	doubted    fleet.BootID
	doubtUntil clock.Instant
	stateHash  uint64 // of probe.State, when hashed
	hashed     bool
	cached     fleet.BootID
	prefixes   map[uint64]struct{}
}

type groupState struct {
	group   fleet.Group
	version uint64
	first   clock.Instant // when the group was first heard of
}

// NewState returns the belief of a node that knows nothing yet.
func NewState(self fleet.Node, zone fleet.AvailabilityZone) *State {
	return &State{
		self: self, zone: zone,
		vms:    map[fleet.VM]*vmState{},
		groups: map[fleet.GroupID]*groupState{},
		remote: map[fleet.GroupID]*remoteGroup{},
	}
}

// Apply merges one event and reports whether the belief may have changed.
func (s *State) Apply(e Event) bool {
	switch e := e.(type) {
	case List:
		return s.applyList(e)
	case Table:
		return s.applyTable(e)
	case PlatformAnswered:
		return s.platformSeen(e.At)
	case Probed:
		return s.applyProbed(e)
	case Loaded:
		return s.applyLoaded(e)
	case Cached:
		return s.applyCached(e)
	case MarkLeaving:
		return s.applyLeaving(e)
	case Members:
		s.nodes = slices.SortedFunc(slices.Values(e.Nodes), func(a, b Node) int { return cmp.Compare(a.VM, b.VM) })
		return true
	case Configured:
		return s.applyConfigured(e)
	case remoteSummary:
		return s.applyRemote(e)
	case unmoved:
		return s.applyUnmoved(e)
	case toldProbe:
		return s.applyTold(e)
	case toldList:
		return s.applyToldList(e)
	case toldOfLoad:
		return s.applyToldLoad(e)
	case toldRow:
		return s.tableGroup(&e.row, e.at)
	}
	return false
}

func (s *State) platformSeen(at clock.Instant) bool {
	if !at.After(s.platform) {
		return false
	}
	s.platform = at
	return true
}

func (s *State) vm(id fleet.VM) *vmState {
	v := s.vms[id]
	if v == nil {
		v = &vmState{record: fleet.Record{VM: id}}
		s.vms[id] = v
		s.order, s.hashes = nil, nil
	}
	return v
}

func (s *State) applyConfigured(e Configured) bool {
	if e.Revision < s.revision || e.Document == nil {
		return false
	}
	s.revision, s.doc = e.Revision, e.Document
	return true
}

func (s *State) applyList(e List) bool {
	if e.At.Before(s.listAt) {
		return false
	}
	s.listAt = e.At
	s.platformSeen(e.At)
	present := make(map[fleet.VM]bool, len(e.Records))
	for _, r := range e.Records {
		present[r.VM] = true
		s.listRow(r)
	}
	for id, v := range s.vms {
		if present[id] {
			continue
		}
		if v.listed || v.unlisted == 0 {
			v.listed, v.unlisted = false, e.At
		}
		if e.At.Sub(max(v.unlisted, v.probe.Answered)) > forgetAfter {
			delete(s.vms, id)
			s.order, s.hashes = nil, nil
		}
	}
	return true
}

func (s *State) listRow(r fleet.Record) {
	v := s.vm(r.VM)
	v.record = r
	v.listed, v.unlisted = true, 0
	leaving := r.State == fleet.StateLeaving
	// Only the change from live to leaving marks a life for good: while the
	// list lags, a VM that has already restarted is still called leaving, and
	// its new life must be usable once the list has caught up.
	boot := v.probe.State.Boot
	switch {
	case leaving && !v.listLeaving && boot != "":
		s.mark(v, boot, "")
	case !leaving && v.listLeaving && v.doubted == boot:
		v.doubtUntil = s.listAt.Add(listSettle)
	}
	v.listLeaving = leaving
}

func (v *vmState) markLeaving(boot fleet.BootID) bool {
	if boot == "" {
		changed := !v.pending
		v.pending = true
		return changed
	}
	if slices.Contains(v.leaving, boot) {
		return false
	}
	if len(v.leaving) == keptBoots {
		v.leaving = slices.Delete(v.leaving, 0, 1)
	}
	v.leaving = append(v.leaving, boot)
	return true
}

func (v *vmState) isLeaving(now clock.Instant) bool {
	if v.listLeaving || v.pending {
		return true
	}
	boot := v.probe.State.Boot
	if boot == v.doubted && now.Before(v.doubtUntil) {
		return true
	}
	return boot != "" && slices.Contains(v.leaving, boot)
}

func (s *State) applyLeaving(e MarkLeaving) bool {
	v := s.vm(e.VM)
	boot := e.Boot
	if boot == "" {
		boot = v.probe.State.Boot
	}
	return s.mark(v, boot, e.From)
}

// mark notes a leaving life. What this node learned itself is told to the peers;
// what a peer told is not told again, or each mark would go round all nodes.
func (s *State) mark(v *vmState, boot fleet.BootID, from fleet.VM) bool {
	changed := v.markLeaving(boot)
	if changed && from == "" && boot != "" {
		s.leavings = append(slices.Clone(s.leavings), leavingKey{v.record.VM, boot})
		s.leavings = s.leavings[max(0, len(s.leavings)-maxLeavings):]
	}
	return changed
}

func (s *State) applyTable(e Table) bool {
	s.platformSeen(e.At)
	for i := range e.VMs {
		s.tableVM(&e.VMs[i])
	}
	listed := make(map[fleet.GroupID]bool, len(e.Groups))
	for i := range e.Groups {
		listed[e.Groups[i].Group.ID] = true
		s.tableGroup(&e.Groups[i], e.At)
	}
	if e.Complete {
		// A group that was heard of after the read began may be newer than it.
		maps.DeleteFunc(s.groups, func(id fleet.GroupID, g *groupState) bool {
			return g.group.Zone == e.Zone && !listed[id] && g.first.Before(e.At)
		})
	}
	return true
}

func (s *State) tableVM(r *TableVM) {
	v := s.vm(r.VM)
	if v.claim == nil || r.Claim.Version >= v.claim.Version {
		c := r.Claim
		v.claim = &c
	}
}

func (s *State) tableGroup(r *TableGroup, at clock.Instant) bool {
	g := s.groups[r.Group.ID]
	if g != nil && g.version >= r.Version {
		return false
	}
	first := at
	if g != nil {
		first = g.first
	}
	s.groups[r.Group.ID] = &groupState{r.Group, r.Version, first}
	return true
}

func (s *State) applyProbed(e Probed) bool {
	v := s.vm(e.VM)
	p := &v.probe
	if !e.Answered {
		// Another watcher's newer answer outweighs this node's failure.
		if !e.Sent.After(p.Answered) {
			return false
		}
		p.fail(e.Failing, e.Failures)
		return true
	}
	if !e.Sent.After(p.Answered) {
		return false
	}
	if p.State.Boot == "" && v.listLeaving {
		v.doubted = e.State.Boot
	}
	v.hashed = false
	*p = Probe{State: e.State, Answered: e.Sent, RTT: e.RTT}
	if v.pending && e.State.Boot != "" {
		v.pending = false
		s.mark(v, e.State.Boot, e.From)
	}
	if e.State.Leaving {
		s.mark(v, e.State.Boot, e.From)
	}
	return true
}

// fail notes that probes have failed since an instant, failures in a row as the
// watcher counts them. Two watchers' failures are not added up.
func (p *Probe) fail(since clock.Instant, failures int) {
	since = max(since, p.Answered)
	if p.Failing == 0 || since < p.Failing {
		p.Failing = since
	}
	p.Failures = max(p.Failures, failures)
}

func (s *State) applyLoaded(e Loaded) bool {
	v := s.vm(e.Load.VM)
	same := v.load.Boot == e.Load.Boot
	if same && e.Load.Sequence < v.load.Sequence {
		return false
	}
	at := e.At.Add(-time.Duration(e.Load.AgeMillis) * time.Millisecond)
	if same && e.Load.Sequence == v.load.Sequence {
		return v.sameLoad(at)
	}
	if !same && at.Before(v.loadAt) {
		return false
	}
	v.load, v.loadAt = e.Load, at
	return true
}

// sameLoad notes that the load was still the same at an instant. Without it the
// load of an endpoint that nobody asks anything would look ever older, and a
// drain that waits for word from after its beginning would never end.
func (v *vmState) sameLoad(at clock.Instant) bool {
	if !at.After(v.loadAt) {
		return false
	}
	v.loadAt = at
	return true
}

func (s *State) applyCached(e Cached) bool {
	v := s.vm(e.VM)
	v.cached, v.prefixes = e.Boot, e.Prefixes
	return true
}
