package membership

import (
	"slices"
	"time"

	"chervilloom/internal/fleet"
)

// syncRandom compares states with one random member.
func (s *State) syncRandom() {
	for _, m := range s.randomAlive(1, "") {
		s.send(m, &Message{Kind: KindSync, Digest: s.digest})
	}
}

// contactPeriod returns the interval between contacts with absent nodes. It is
// shorter while this node knows no live member, because it is joining.
func (s *State) contactPeriod() time.Duration {
	if s.liveCount == 0 {
		return s.cfg.JoinPeriod
	}
	return s.cfg.ReconnectPeriod
}

// syncAbsent starts a state comparison with one dead member or unknown seed.
// Otherwise the two sides of a partition would consider each other dead for
// ever after it has healed.
func (s *State) syncAbsent() {
	absent := s.absentNodes()
	if len(absent) == 0 {
		return
	}
	to := absent[s.rng.IntN(len(absent))]
	s.sendTo(to.VM, to.Addr, &Message{Kind: KindSync, Digest: s.digest})
}

func (s *State) absentNodes() []Seed {
	var out []Seed
	for _, vm := range s.sortedVMs {
		if m := s.members[vm]; m.Status == Dead {
			out = append(out, Seed{VM: vm, Zone: m.Zone, Addr: m.Addr})
		}
	}
	for _, seed := range s.seeds {
		if !s.isKnownSeed(seed) {
			out = append(out, seed)
		}
	}
	return out
}

// isKnownSeed reports whether the seed is a member that this node contacts
// anyway. A member that has left may be a new process on the same VM, and a
// dead one's address may have been reassigned to another VM.
func (s *State) isKnownSeed(seed Seed) bool {
	if seed.VM != "" {
		m := s.members[seed.VM]
		return m != nil && m.Status != Left
	}
	return slices.ContainsFunc(s.sortedVMs, func(vm fleet.VM) bool {
		m := s.members[vm]
		return m.Addr == seed.Addr && m.isLive()
	})
}
