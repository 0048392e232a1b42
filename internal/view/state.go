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

// Retention times and limits of the merged state.
const (
	// DefaultProbeFresh is the maximum age of the probes of a group that serves
	// requests.
	DefaultProbeFresh = 1500 * time.Millisecond
	// forgetAfter is how long a VM is kept after it has left the list and
	// stopped answering probes. It exceeds the lag of the list.
	forgetAfter = 10 * time.Minute
	// listSettleTime is how long an uncertain boot still counts as leaving
	// after the list has returned to live. It exceeds the time by which
	// successive lists can differ in age.
	listSettleTime = 30 * time.Second
	// maxLeavingBoots is the number of leaving boots kept for each VM.
	maxLeavingBoots = 4
	// maxLeavingMarks bounds the leaving marks that wait to be sent to peers.
	maxLeavingMarks = 64
)

// State merges events into the node's knowledge of the fleet. It is a pure
// state machine: Apply changes it, Snapshot reads it. It is not safe for
// concurrent use.
type State struct {
	self               fleet.Node
	zone               fleet.AvailabilityZone
	revision           uint64
	doc                *config.Document
	listAt             clock.Instant
	platformAnsweredAt clock.Instant
	vms                map[fleet.VM]*vmState
	groups             map[fleet.GroupID]*groupState
	remote             map[fleet.GroupID]*remoteGroup
	vmsByHash          map[uint32]*vmState // by short hash; nil: to be rebuilt
	// leavingMarks are the newest leaving boots that this node detected itself.
	leavingMarks []leavingKey
	// resyncPeers holds the peers that referred to state this node lacks, and
	// when.
	resyncPeers map[fleet.VM]clock.Instant
	nodes       []Node
	vmOrder     []*vmState // by VM; nil: to be sorted again
}

type vmState struct {
	record        fleet.Record
	listed        bool
	listLeaving   bool
	unlistedSince clock.Instant
	probe         Probe
	load          fleet.Load
	loadAt        clock.Instant
	claim         *Claim
	// leavingBoots holds the boots marked as leaving, oldest first. A lagging
	// list that reports the VM as live again must not clear them.
	leavingBoots []fleet.BootID
	// pendingLeaving is set when the VM was marked as leaving before any boot
	// was known.
	pendingLeaving bool
	// uncertainBoot is a boot that was first seen while the list already
	// reported the VM as leaving: the list may refer to it, or lag and refer to
	// the previous one. It counts as leaving while the list says so and until
	// uncertainUntil. If it were marked for good, a restarted VM would never be
	// used again; if it were not marked at all, a list that returns to live
	// would bring a leaving endpoint back.
	uncertainBoot  fleet.BootID
	uncertainUntil clock.Instant
	stateHash      uint64 // hash of probe.State, valid if hashed
	hashed         bool
	prefixesBoot   fleet.BootID
	prefixes       map[uint64]struct{}
}

type groupState struct {
	group     fleet.Group
	version   uint64
	firstSeen clock.Instant // time of the first event about the group
}

// NewState returns the empty state of a node that has received no events.
func NewState(self fleet.Node, zone fleet.AvailabilityZone) *State {
	return &State{
		self: self, zone: zone,
		vms:    map[fleet.VM]*vmState{},
		groups: map[fleet.GroupID]*groupState{},
		remote: map[fleet.GroupID]*remoteGroup{},
	}
}

// Apply merges an event and reports whether the state may have changed.
func (s *State) Apply(e Event) bool {
	switch e := e.(type) {
	case List:
		return s.applyList(e)
	case Table:
		return s.applyTable(e)
	case PlatformAnswered:
		return s.recordPlatformAnswer(e.At)
	case Probed:
		return s.applyProbed(e)
	case LoadReported:
		return s.applyLoadReported(e)
	case CacheReported:
		return s.applyCacheReported(e)
	case MarkLeaving:
		return s.applyLeaving(e)
	case Members:
		s.nodes = slices.SortedFunc(slices.Values(e.Nodes), func(a, b Node) int { return cmp.Compare(a.VM, b.VM) })
		return true
	case Configured:
		return s.applyConfigured(e)
	case remoteSummary:
		return s.applyRemoteSummary(e)
	case summaryUpdate:
		return s.applySummaryUpdate(e)
	case peerProbe:
		return s.applyPeerProbe(e)
	case peerList:
		return s.applyPeerList(e)
	case peerLoad:
		return s.applyPeerLoad(e)
	case peerGroupRow:
		return s.mergeGroupRow(&e.row, e.at)
	}
	return false
}

func (s *State) recordPlatformAnswer(at clock.Instant) bool {
	if !at.After(s.platformAnsweredAt) {
		return false
	}
	s.platformAnsweredAt = at
	return true
}

func (s *State) vm(id fleet.VM) *vmState {
	v := s.vms[id]
	if v == nil {
		v = &vmState{record: fleet.Record{VM: id}}
		s.vms[id] = v
		s.vmOrder, s.vmsByHash = nil, nil
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
	s.recordPlatformAnswer(e.At)
	present := make(map[fleet.VM]bool, len(e.Records))
	for _, r := range e.Records {
		present[r.VM] = true
		s.mergeRecord(r)
	}
	for id, v := range s.vms {
		if present[id] {
			continue
		}
		if v.listed || v.unlistedSince == 0 {
			v.listed, v.unlistedSince = false, e.At
		}
		if e.At.Sub(max(v.unlistedSince, v.probe.AnsweredAt)) > forgetAfter {
			delete(s.vms, id)
			s.vmOrder, s.vmsByHash = nil, nil
		}
	}
	return true
}

func (s *State) mergeRecord(r fleet.Record) {
	v := s.vm(r.VM)
	v.record = r
	v.listed, v.unlistedSince = true, 0
	leaving := r.State == fleet.StateLeaving
	// Only the transition from live to leaving marks a boot for good: while the
	// list lags, it still reports a restarted VM as leaving, and the new boot
	// must be usable once the list has caught up.
	boot := v.probe.State.Boot
	switch {
	case leaving && !v.listLeaving && boot != "":
		s.markLeaving(v, boot, "")
	case !leaving && v.listLeaving && v.uncertainBoot == boot:
		v.uncertainUntil = s.listAt.Add(listSettleTime)
	}
	v.listLeaving = leaving
}

func (v *vmState) markLeaving(boot fleet.BootID) bool {
	if boot == "" {
		changed := !v.pendingLeaving
		v.pendingLeaving = true
		return changed
	}
	if slices.Contains(v.leavingBoots, boot) {
		return false
	}
	if len(v.leavingBoots) == maxLeavingBoots {
		v.leavingBoots = slices.Delete(v.leavingBoots, 0, 1)
	}
	v.leavingBoots = append(v.leavingBoots, boot)
	return true
}

func (v *vmState) isLeaving(now clock.Instant) bool {
	if v.listLeaving || v.pendingLeaving {
		return true
	}
	boot := v.probe.State.Boot
	if boot == v.uncertainBoot && now.Before(v.uncertainUntil) {
		return true
	}
	return boot != "" && slices.Contains(v.leavingBoots, boot)
}

func (s *State) applyLeaving(e MarkLeaving) bool {
	v := s.vm(e.VM)
	boot := e.Boot
	if boot == "" {
		boot = v.probe.State.Boot
	}
	return s.markLeaving(v, boot, e.From)
}

// markLeaving marks a boot as leaving. Marks that this node detected itself are
// queued for its peers; marks received from a peer are not forwarded, or each
// would circulate among all nodes.
func (s *State) markLeaving(v *vmState, boot fleet.BootID, from fleet.VM) bool {
	changed := v.markLeaving(boot)
	if changed && from == "" && boot != "" {
		s.leavingMarks = append(slices.Clone(s.leavingMarks), leavingKey{v.record.VM, boot})
		s.leavingMarks = s.leavingMarks[max(0, len(s.leavingMarks)-maxLeavingMarks):]
	}
	return changed
}

func (s *State) applyTable(e Table) bool {
	s.recordPlatformAnswer(e.At)
	for i := range e.VMs {
		s.mergeClaim(&e.VMs[i])
	}
	listed := make(map[fleet.GroupID]bool, len(e.Groups))
	for i := range e.Groups {
		listed[e.Groups[i].Group.ID] = true
		s.mergeGroupRow(&e.Groups[i], e.At)
	}
	if e.Complete {
		// A group first seen after the read began may be newer than the read.
		maps.DeleteFunc(s.groups, func(id fleet.GroupID, g *groupState) bool {
			return g.group.Zone == e.Zone && !listed[id] && g.firstSeen.Before(e.At)
		})
	}
	return true
}

func (s *State) mergeClaim(r *TableVM) {
	v := s.vm(r.VM)
	if v.claim == nil || r.Claim.Version >= v.claim.Version {
		c := r.Claim
		v.claim = &c
	}
}

func (s *State) mergeGroupRow(r *TableGroup, at clock.Instant) bool {
	g := s.groups[r.Group.ID]
	if g != nil && g.version >= r.Version {
		return false
	}
	first := at
	if g != nil {
		first = g.firstSeen
	}
	s.groups[r.Group.ID] = &groupState{r.Group, r.Version, first}
	return true
}

func (s *State) applyProbed(e Probed) bool {
	v := s.vm(e.VM)
	p := &v.probe
	if !e.Answered {
		// A newer answer to another watcher overrides this node's failed probe.
		if !e.Sent.After(p.AnsweredAt) {
			return false
		}
		p.recordFailure(e.FailingSince, e.Failures)
		return true
	}
	if !e.Sent.After(p.AnsweredAt) {
		return false
	}
	if p.State.Boot == "" && v.listLeaving {
		v.uncertainBoot = e.State.Boot
	}
	v.hashed = false
	*p = Probe{State: e.State, AnsweredAt: e.Sent, RTT: e.RTT}
	if v.pendingLeaving && e.State.Boot != "" {
		v.pendingLeaving = false
		s.markLeaving(v, e.State.Boot, e.From)
	}
	if e.State.Leaving {
		s.markLeaving(v, e.State.Boot, e.From)
	}
	return true
}

// recordFailure records that probes have failed since the given time, with one
// watcher's count of consecutive failures. The counts of several watchers are
// not added up.
func (p *Probe) recordFailure(since clock.Instant, failures int) {
	since = max(since, p.AnsweredAt)
	if p.FailingSince == 0 || since < p.FailingSince {
		p.FailingSince = since
	}
	p.Failures = max(p.Failures, failures)
}

func (s *State) applyLoadReported(e LoadReported) bool {
	v := s.vm(e.Load.VM)
	same := v.load.Boot == e.Load.Boot
	if same && e.Load.Sequence < v.load.Sequence {
		return false
	}
	at := e.At.Add(-time.Duration(e.Load.AgeMillis) * time.Millisecond)
	if same && e.Load.Sequence == v.load.Sequence {
		return v.refreshLoad(at)
	}
	if !same && at.Before(v.loadAt) {
		return false
	}
	v.load, v.loadAt = e.Load, at
	return true
}

// refreshLoad records that the load was unchanged at the given time. Otherwise
// the load of an idle endpoint would appear to age, and a drain that waits for
// a report newer than its start would never end.
func (v *vmState) refreshLoad(at clock.Instant) bool {
	if !at.After(v.loadAt) {
		return false
	}
	v.loadAt = at
	return true
}

func (s *State) applyCacheReported(e CacheReported) bool {
	v := s.vm(e.VM)
	v.prefixesBoot, v.prefixes = e.Boot, e.Prefixes
	return true
}
