package view

import (
	"maps"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// remoteGroupTTL is how long a group of another zone is kept without an update.
const remoteGroupTTL = 30 * time.Second

// peerProbeKind is the kind of a peer's report on its newest probe of a VM.
type peerProbeKind string

const (
	probeUnchanged peerProbeKind = "same"    // the state with the given hash was confirmed
	probeFailing   peerProbeKind = "failing" // probes have failed since the given time
)

// peerProbe is a peer's report on its newest probe of a VM, which it identifies
// by hash.
type peerProbe struct {
	kind       peerProbeKind
	vm         uint32
	from       fleet.VM
	receivedAt clock.Instant
	hash       uint64
	at         clock.Instant
	failures   int
}

// peerLoad is a load report received from a peer.
type peerLoad struct {
	from fleet.VM
	at   clock.Instant
	load wireLoad
}

// peerList is the VM list as last read by a peer.
type peerList struct {
	from fleet.VM
	list List
}

// peerGroupRow is a group row received from a peer.
type peerGroupRow struct {
	from fleet.VM
	at   clock.Instant
	row  TableGroup
}

// remoteGroup is the summary of a group of another availability zone.
type remoteGroup struct {
	group   Group
	hash    uint32
	heardAt clock.Instant
}

// remoteSummary is a complete group summary from a peer of another zone.
type remoteSummary struct {
	group      Group
	hash       uint32
	receivedAt clock.Instant
}

// summaryUpdate is a peer's report that the fixed part of a summary is
// unchanged, with its current state.
type summaryUpdate struct {
	from               fleet.VM
	receivedAt, sentAt clock.Instant
	state              wireSummaryState
}

func (e peerProbe) subject() subject     { return subject{string(e.kind), hashKey(e.vm), e.from} }
func (e peerLoad) subject() subject      { return subject{"peer load", hashKey(e.load.VM), e.from} }
func (e peerList) subject() subject      { return subject{kind: "peer list"} }
func (e peerGroupRow) subject() subject  { return subject{"row", string(e.row.Group.ID), e.from} }
func (e remoteSummary) subject() subject { return subject{kind: "remote", id: string(e.group.ID)} }
func (e summaryUpdate) subject() subject { return subject{"unmoved", hashKey(e.state.ID), e.from} }

func hashKey(h uint32) string {
	return string([]byte{byte(h), byte(h >> 8), byte(h >> 16), byte(h >> 24)})
}

// vmByHash returns the VM with the short hash, or nil if none or more than one
// has it.
func (s *State) vmByHash(h uint32) *vmState {
	if s.vmsByHash == nil {
		s.vmsByHash = make(map[uint32]*vmState, len(s.vms))
		for id, v := range s.vms {
			k := shortHash(string(id))
			if _, twice := s.vmsByHash[k]; twice {
				s.vmsByHash[k] = nil
				continue
			}
			s.vmsByHash[k] = v
		}
	}
	return s.vmsByHash[h]
}

func (s *State) applyPeerProbe(e peerProbe) bool {
	v := s.vmByHash(e.vm)
	if v == nil {
		return s.requestResync(e.from, e.receivedAt)
	}
	if !e.at.After(v.probe.AnsweredAt) {
		return false
	}
	p := &v.probe
	if e.kind == probeFailing {
		p.recordFailure(e.at, e.failures)
		return true
	}
	if p.AnsweredAt == 0 || v.probeStateHash() != e.hash {
		return s.requestResync(e.from, e.receivedAt)
	}
	p.AnsweredAt, p.FailingSince, p.Failures = e.at, 0, 0
	return true
}

// applyPeerList adopts a peer's VM list while this node has none of its own: it
// started while the platform was down. Its own reads replace it.
func (s *State) applyPeerList(e peerList) bool {
	if s.listAt != 0 || e.list.At == 0 {
		return false
	}
	answeredAt := s.platformAnsweredAt
	s.applyList(e.list)
	s.platformAnsweredAt = answeredAt // the platform answered the peer, not this node
	return true
}

func (s *State) applyPeerLoad(e peerLoad) bool {
	v := s.vmByHash(e.load.VM)
	if v == nil {
		return false
	}
	boot := v.probe.State.Boot
	if shortHash(string(boot)) != e.load.Boot {
		return false // of a boot that is not the known one
	}
	return s.applyLoadReported(LoadReported{From: e.from, At: e.at, Load: e.load.load(v.record.VM, boot)})
}

// probeStateHash returns the hash of the newest probed state.
func (v *vmState) probeStateHash() uint64 {
	if !v.hashed {
		v.stateHash, v.hashed = stateHash(&v.probe.State), true
	}
	return v.stateHash
}

func (s *State) applyRemoteSummary(e remoteSummary) bool {
	if e.group.Zone == s.zone {
		return false // groups of this zone are evaluated from their members
	}
	old := s.remote[e.group.ID]
	if old != nil && (old.group.RowVersion > e.group.RowVersion || old.group.RowVersion == e.group.RowVersion && e.group.LoadAt.Before(old.group.LoadAt)) {
		return false
	}
	s.remote[e.group.ID] = &remoteGroup{e.group, e.hash, e.receivedAt}
	s.removeExpiredRemoteGroups(e.receivedAt)
	return true
}

func (s *State) applySummaryUpdate(e summaryUpdate) bool {
	for id, r := range s.remote {
		if shortHash(string(id)) != e.state.ID || r.hash != e.state.Hash {
			continue
		}
		r.heardAt = e.receivedAt
		if e.sentAt.Add(time.Duration(e.state.FreshFor) * time.Millisecond).Before(r.group.FreshUntil) {
			return true // another watcher's report is newer
		}
		e.state.applyTo(&r.group, e.sentAt)
		return true
	}
	return s.requestResync(e.from, e.receivedAt)
}

// requestResync records that a peer referred to state this node lacks, because
// an earlier message was lost. Gossip then requests the peer's full state.
func (s *State) requestResync(peer fleet.VM, at clock.Instant) bool {
	s.resyncPeers = maps.Clone(s.resyncPeers)
	if s.resyncPeers == nil {
		s.resyncPeers = map[fleet.VM]clock.Instant{}
	}
	maps.DeleteFunc(s.resyncPeers, func(_ fleet.VM, old clock.Instant) bool { return at.Sub(old) > resyncPeerTTL })
	s.resyncPeers[peer] = at
	return true
}

// resyncPeerTTL is how long a resync request stays pending.
const resyncPeerTTL = 2 * time.Second

// removeExpiredRemoteGroups deletes the groups without an update for
// remoteGroupTTL.
func (s *State) removeExpiredRemoteGroups(now clock.Instant) {
	for id, r := range s.remote {
		if now.Sub(r.heardAt) > remoteGroupTTL {
			delete(s.remote, id)
		}
	}
}
