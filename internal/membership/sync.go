package membership

import (
	"slices"
	"time"

	"chervilloom/internal/fleet"
)

// syncRandom compares states with one random member.
func (s *State) syncRandom() {
	for _, m := range s.pick(1, "") {
		s.send(m, &Message{Kind: KindSync, Digest: s.digest})
	}
}

// deadPeriod is shorter while this node knows nobody: it is joining then.
func (s *State) deadPeriod() time.Duration {
	if s.live == 0 {
		return s.cfg.JoinPeriod
	}
	return s.cfg.DeadPeriod
}

// tryAbsent asks one dead member or unknown seed to compare states. Without it
// the two sides of a cut would count each other dead for ever after the cut has
// healed.
func (s *State) tryAbsent() {
	absent := s.absent()
	if len(absent) == 0 {
		return
	}
	to := absent[s.rng.IntN(len(absent))]
	s.sendTo(to.VM, to.Addr, &Message{Kind: KindSync, Digest: s.digest})
}

func (s *State) absent() []Seed {
	var out []Seed
	for _, vm := range s.names {
		if m := s.members[vm]; m.Status == Dead {
			out = append(out, Seed{VM: vm, Zone: m.Zone, Addr: m.Addr})
		}
	}
	for _, seed := range s.seeds {
		if !s.metAt(seed) {
			out = append(out, seed)
		}
	}
	return out
}

// metAt reports whether the seed is a member that this node is in touch with or
// asks anyway. One that has left may be a new process on the same VM, and a dead
// one's address may have gone to another VM.
func (s *State) metAt(seed Seed) bool {
	if seed.VM != "" {
		m := s.members[seed.VM]
		return m != nil && m.Status != Left
	}
	return slices.ContainsFunc(s.names, func(vm fleet.VM) bool {
		m := s.members[vm]
		return m.Addr == seed.Addr && m.live()
	})
}
