package view

import (
	"maps"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// remoteForget is how long a group of another zone is believed in without a
// word from there.
const remoteForget = 30 * time.Second

// toldKind is what a peer says of its newest probe of a VM.
type toldKind string

const (
	toldSame    toldKind = "same"    // the state with the hash was found
	toldFailing toldKind = "failing" // none answered since an instant
)

// toldProbe is one peer's word on the newest probe of a VM, which it names by
// hash.
type toldProbe struct {
	kind     toldKind
	vm       uint32
	from     fleet.VM
	heard    clock.Instant
	hash     uint64
	at       clock.Instant
	failures int
}

// toldOfLoad is a load report that a peer knows.
type toldOfLoad struct {
	from fleet.VM
	at   clock.Instant
	load wireLoad
}

// toldList is the list of VMs as a peer last read it.
type toldList struct {
	from fleet.VM
	list List
}

// toldRow is a group row that a peer knows.
type toldRow struct {
	from fleet.VM
	at   clock.Instant
	row  TableGroup
}

// remoteGroup is the summary of a group of another availability zone.
type remoteGroup struct {
	group Group
	hash  uint32
	heard clock.Instant
}

// remoteSummary is a whole summary from a peer of another zone.
type remoteSummary struct {
	group Group
	hash  uint32
	heard clock.Instant
}

// unmoved is a peer's word that a summary still holds.
type unmoved struct {
	from        fleet.VM
	heard, sent clock.Instant
	state       wireUnmoved
}

func (e toldProbe) subject() subject     { return subject{string(e.kind), hashKey(e.vm), e.from} }
func (e toldOfLoad) subject() subject    { return subject{"told load", hashKey(e.load.VM), e.from} }
func (e toldList) subject() subject      { return subject{kind: "told list"} }
func (e toldRow) subject() subject       { return subject{"row", string(e.row.Group.ID), e.from} }
func (e remoteSummary) subject() subject { return subject{kind: "remote", id: string(e.group.ID)} }
func (e unmoved) subject() subject       { return subject{"unmoved", hashKey(e.state.ID), e.from} }

func hashKey(h uint32) string {
	return string([]byte{byte(h), byte(h >> 8), byte(h >> 16), byte(h >> 24)})
}

// byHash returns the VM with the short hash, or nil when none or two have it.
func (s *State) byHash(h uint32) *vmState {
	if s.hashes == nil {
		s.hashes = make(map[uint32]*vmState, len(s.vms))
		for id, v := range s.vms {
			k := shortHash(string(id))
			if _, twice := s.hashes[k]; twice {
				s.hashes[k] = nil
				continue
			}
			s.hashes[k] = v
		}
	}
	return s.hashes[h]
}

func (s *State) applyTold(e toldProbe) bool {
	v := s.byHash(e.vm)
	if v == nil {
		return s.miss(e.from, e.heard)
	}
	if !e.at.After(v.probe.Answered) {
		return false
	}
	p := &v.probe
	if e.kind == toldFailing {
		p.fail(e.at, e.failures)
		return true
	}
	if p.Answered == 0 || v.hash() != e.hash {
		return s.miss(e.from, e.heard)
	}
	p.Answered, p.Failing, p.Failures = e.at, 0, 0
	return true
}

// applyToldList takes a peer's list when this node has none: it started while
// the platform was down. Its own reads replace it.
func (s *State) applyToldList(e toldList) bool {
	if s.listAt != 0 || e.list.At == 0 {
		return false
	}
	seen := s.platform
	s.applyList(e.list)
	s.platform = seen // it was the peer that the platform answered
	return true
}

func (s *State) applyToldLoad(e toldOfLoad) bool {
	v := s.byHash(e.load.VM)
	if v == nil {
		return false
	}
	boot := v.probe.State.Boot
	if shortHash(string(boot)) != e.load.Boot {
		return false // of a life that this node does not know, or no more
	}
	return s.applyLoaded(Loaded{From: e.from, At: e.at, Load: e.load.load(v.record.VM, boot)})
}

// hash is the hash of the state last probed.
func (v *vmState) hash() uint64 {
	if !v.hashed {
		v.stateHash, v.hashed = stateHash(&v.probe.State), true
	}
	return v.stateHash
}

func (s *State) applyRemote(e remoteSummary) bool {
	if e.group.Zone == s.zone {
		return false // the own zone's groups are judged by their members
	}
	old := s.remote[e.group.ID]
	if old != nil && (old.group.RowVersion > e.group.RowVersion || old.group.RowVersion == e.group.RowVersion && e.group.LoadAt.Before(old.group.LoadAt)) {
		return false
	}
	s.remote[e.group.ID] = &remoteGroup{e.group, e.hash, e.heard}
	s.forgetRemote(e.heard)
	return true
}

func (s *State) applyUnmoved(e unmoved) bool {
	for id, r := range s.remote {
		if shortHash(string(id)) != e.state.ID || r.hash != e.state.Hash {
			continue
		}
		r.heard = e.heard
		if e.sent.Add(time.Duration(e.state.Fresh) * time.Millisecond).Before(r.group.FreshUntil) {
			return true // the other watcher's word is newer
		}
		e.state.apply(&r.group, e.sent)
		return true
	}
	return s.miss(e.from, e.heard)
}

// miss notes that a peer spoke of something that this node does not know: a
// message of its was lost. It is asked to tell all again.
func (s *State) miss(peer fleet.VM, at clock.Instant) bool {
	s.missed = maps.Clone(s.missed)
	if s.missed == nil {
		s.missed = map[fleet.VM]clock.Instant{}
	}
	maps.DeleteFunc(s.missed, func(_ fleet.VM, old clock.Instant) bool { return at.Sub(old) > missKept })
	s.missed[peer] = at
	return true
}

// missKept is how long a miss is remembered.
const missKept = 2 * time.Second

// forgetRemote drops the groups of which nothing was heard for long.
func (s *State) forgetRemote(now clock.Instant) {
	for id, r := range s.remote {
		if now.Sub(r.heard) > remoteForget {
			delete(s.remote, id)
		}
	}
}
