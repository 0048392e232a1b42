package group

import (
	"maps"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// restartWindow is the time for which a restart counts against a VM.
	restartWindow = 10 * time.Minute
	// unstableRestarts within the window make a VM unstable: its group replaces it.
	unstableRestarts = 3
)

// Memory is the planner's state between plans. It is lost with the process; the
// times in it then start again, which delays decisions but never advances them.
type Memory struct {
	drainingSince  map[fleet.GroupID]clock.Instant
	brokenSince    map[fleet.GroupID]clock.Instant
	dissolvedSince map[fleet.GroupID]clock.Instant
	joins          map[fleet.VM]joinTime
	boots          map[fleet.VM]bootHistory
	groupsFormed   uint64
}

// joinTime is the time at which a VM was first seen loading for a generation.
type joinTime struct {
	group fleet.GroupID
	gen   fleet.Generation
	at    clock.Instant
}

// bootHistory is a VM's current boot id and the times of its newest restarts.
type bootHistory struct {
	boot         fleet.BootID
	restartTimes []clock.Instant // of the newest restarts, at most unstableRestarts
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		drainingSince:  map[fleet.GroupID]clock.Instant{},
		brokenSince:    map[fleet.GroupID]clock.Instant{},
		dissolvedSince: map[fleet.GroupID]clock.Instant{},
		joins:          map[fleet.VM]joinTime{},
		boots:          map[fleet.VM]bootHistory{},
	}
}

// ForNewTenure returns the memory for a new tenure of the lease. It keeps only the
// number of groups formed, so that no group id is used twice.
func (m *Memory) ForNewTenure() *Memory {
	n := NewMemory()
	n.groupsFormed = m.groupsFormed
	return n
}

// sinceFirst returns the time at which the group was first seen in m, and records
// now if it is new.
func sinceFirst(m map[fleet.GroupID]clock.Instant, id fleet.GroupID, now clock.Instant) clock.Instant {
	if at, ok := m[id]; ok {
		return at
	}
	m[id] = now
	return now
}

// observe records restarts and the times at which VMs began to load.
func (m *Memory) observe(p *planner) {
	for id, v := range p.vms {
		st := &v.Probe.State
		if st.Boot != "" {
			m.recordBoot(id, st.Boot, p.in.Now)
		}
		if st.Group == "" || st.Loaded {
			delete(m.joins, id)
			continue
		}
		if j := m.joins[id]; j.group != st.Group || j.gen != st.Generation {
			m.joins[id] = joinTime{st.Group, st.Generation, p.in.Now}
		}
	}
}

func (m *Memory) recordBoot(vm fleet.VM, boot fleet.BootID, now clock.Instant) {
	b := m.boots[vm]
	if b.boot == boot {
		return
	}
	if b.boot != "" {
		b.restartTimes = append(b.restartTimes, now)
		b.restartTimes = b.restartTimes[max(0, len(b.restartTimes)-unstableRestarts):]
	}
	b.boot = boot
	m.boots[vm] = b
}

// recentRestarts returns the number of the VM's restarts within the window, at
// most unstableRestarts.
func (m *Memory) recentRestarts(vm fleet.VM, now clock.Instant) int {
	n := 0
	for _, at := range m.boots[vm].restartTimes {
		if now.Sub(at) <= restartWindow {
			n++
		}
	}
	return n
}

// loadingTime returns how long the VM has been loading for its generation.
func (m *Memory) loadingTime(vm fleet.VM, now clock.Instant) time.Duration {
	j, ok := m.joins[vm]
	if !ok {
		return 0
	}
	return now.Sub(j.at)
}

// evict removes groups and VMs that no longer exist.
func (m *Memory) evict(p *planner) {
	known := make(map[fleet.GroupID]bool, len(p.groups))
	for _, ag := range p.groups {
		known[ag.row.Group.ID] = true
	}
	for _, times := range []map[fleet.GroupID]clock.Instant{m.drainingSince, m.brokenSince, m.dissolvedSince} {
		maps.DeleteFunc(times, func(id fleet.GroupID, _ clock.Instant) bool { return !known[id] })
	}
	maps.DeleteFunc(m.joins, func(vm fleet.VM, _ joinTime) bool { return p.vms[vm] == nil })
	maps.DeleteFunc(m.boots, func(vm fleet.VM, _ bootHistory) bool { return p.vms[vm] == nil })
}
