package group

import (
	"maps"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// restartWindow is how long a restart counts against a VM.
	restartWindow = 10 * time.Minute
	// unsteadyAfter restarts within the window a VM is used last.
	unsteadyAfter = 3
)

// Memory is what the planner remembers between plans. It is lost with the
// process; then the times it holds start anew, which delays and never hastens.
type Memory struct {
	draining  map[fleet.GroupID]clock.Instant
	broken    map[fleet.GroupID]clock.Instant
	dissolved map[fleet.GroupID]clock.Instant
	joined    map[fleet.VM]joinedAt
	boots     map[fleet.VM]boots
	formed    uint64
}

// joinedAt is when a member was first seen in its place.
type joinedAt struct {
	group fleet.GroupID
	gen   fleet.Generation
	at    clock.Instant
}

// boots counts a VM's restarts.
type boots struct {
	boot  fleet.BootID
	times []clock.Instant // of the newest restarts, at most unsteadyAfter
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		draining:  map[fleet.GroupID]clock.Instant{},
		broken:    map[fleet.GroupID]clock.Instant{},
		dissolved: map[fleet.GroupID]clock.Instant{},
		joined:    map[fleet.VM]joinedAt{},
		boots:     map[fleet.VM]boots{},
	}
}

// Restart returns the memory for a new tenure of the lease: only the count of
// groups goes on, so that no id is drawn twice.
func (m *Memory) Restart() *Memory {
	n := NewMemory()
	n.formed = m.formed
	return n
}

// since returns when the group was first put into m.
func since(m map[fleet.GroupID]clock.Instant, id fleet.GroupID, now clock.Instant) clock.Instant {
	if at, ok := m[id]; ok {
		return at
	}
	m[id] = now
	return now
}

// watch notes restarts and members that took their place.
func (m *Memory) watch(p *planner) {
	for id, v := range p.vms {
		st := &v.Probe.State
		if st.Boot != "" {
			m.noteBoot(id, st.Boot, p.in.Now)
		}
		if st.Group == "" || st.Loaded {
			delete(m.joined, id)
			continue
		}
		if j := m.joined[id]; j.group != st.Group || j.gen != st.Generation {
			m.joined[id] = joinedAt{st.Group, st.Generation, p.in.Now}
		}
	}
}

func (m *Memory) noteBoot(vm fleet.VM, boot fleet.BootID, now clock.Instant) {
	b := m.boots[vm]
	if b.boot == boot {
		return
	}
	if b.boot != "" {
		b.times = append(b.times, now)
		b.times = b.times[max(0, len(b.times)-unsteadyAfter):]
	}
	b.boot = boot
	m.boots[vm] = b
}

// restarts counts the VM's restarts within the window.
func (m *Memory) restarts(vm fleet.VM, now clock.Instant) int {
	n := 0
	for _, at := range m.boots[vm].times {
		if now.Sub(at) <= restartWindow {
			n++
		}
	}
	return n
}

// loadingFor returns for how long the VM has been loading in its place.
func (m *Memory) loadingFor(vm fleet.VM, now clock.Instant) time.Duration {
	j, ok := m.joined[vm]
	if !ok {
		return 0
	}
	return now.Sub(j.at)
}

// sweep forgets groups and VMs that exist no more.
func (m *Memory) sweep(p *planner) {
	known := make(map[fleet.GroupID]bool, len(p.items))
	for _, it := range p.items {
		known[it.row.Group.ID] = true
	}
	for _, times := range []map[fleet.GroupID]clock.Instant{m.draining, m.broken, m.dissolved} {
		maps.DeleteFunc(times, func(id fleet.GroupID, _ clock.Instant) bool { return !known[id] })
	}
	maps.DeleteFunc(m.joined, func(vm fleet.VM, _ joinedAt) bool { return p.vms[vm] == nil })
	maps.DeleteFunc(m.boots, func(vm fleet.VM, _ boots) bool { return p.vms[vm] == nil })
}
