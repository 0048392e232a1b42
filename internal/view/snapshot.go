package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Snapshot returns the state as of now. The result shares nothing that Apply
// changes.
func (s *State) Snapshot(now clock.Instant) *Snapshot {
	snap := &Snapshot{
		At: now, Self: s.self, Zone: s.zone, Revision: s.revision, Config: s.doc,
		PlatformSeen: s.platformAnsweredAt, ListSeen: s.listAt, Nodes: s.nodes, leavingMarks: s.leavingMarks, resyncPeers: s.resyncPeers,
	}
	snap.VMs = make([]VM, 0, len(s.vms))
	for _, v := range s.sorted() {
		snap.VMs = append(snap.VMs, VM{
			Record: v.record, Listed: v.listed, UnlistedSince: v.unlistedSince, Leaving: v.isLeaving(now),
			Probe: v.probe, Load: v.load, LoadAt: v.loadAt, Claim: v.claim,
		})
	}
	snap.Groups = s.snapshotGroups(now)
	return snap
}

func (s *State) sorted() []*vmState {
	if s.vmOrder != nil {
		return s.vmOrder
	}
	s.vmOrder = make([]*vmState, 0, len(s.vms))
	for _, v := range s.vms {
		s.vmOrder = append(s.vmOrder, v)
	}
	slices.SortFunc(s.vmOrder, func(a, b *vmState) int { return cmp.Compare(a.record.VM, b.record.VM) })
	return s.vmOrder
}

func (s *State) probeFresh() time.Duration {
	if s.doc == nil {
		return DefaultProbeFresh
	}
	return s.doc.Policy.ProbeFresh.Or(DefaultProbeFresh)
}

func (s *State) snapshotGroups(now clock.Instant) []Group {
	out := make([]Group, 0, len(s.groups)+len(s.remote))
	for _, g := range s.groups {
		if g.group.Phase != fleet.PhaseDissolved && g.group.Zone == s.zone {
			out = append(out, s.localGroup(g, now))
		}
	}
	for _, r := range s.remote {
		if r.group.Phase != fleet.PhaseDissolved && now.Sub(r.heardAt) <= remoteGroupTTL {
			out = append(out, r.group)
		}
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *State) localGroup(g *groupState, now clock.Instant) Group {
	out := Group{Group: g.group, RowVersion: g.version}
	limit := s.probeFresh()
	out.Whole = true
	for i := range g.group.Members {
		m := &g.group.Members[i]
		v := s.vms[m.VM]
		if reason := v.memberFault(&g.group, m, now); reason != "" {
			out.Whole, out.Reason, out.FreshUntil = false, fmt.Sprintf("%s %s", m.VM, reason), 0
			break
		}
		until := v.probe.AnsweredAt.Add(limit)
		if v.probe.FailingSince != 0 {
			until = 0 // the newest probe failed: a dispatch must probe again first
		}
		if i == 0 || until < out.FreshUntil {
			out.FreshUntil = until
		}
	}
	if len(g.group.Members) == 0 {
		out.Whole, out.Reason = false, "no members"
		return out
	}
	if v := s.vms[g.group.Members[0].VM]; v != nil && v.load.Boot == g.group.Members[0].Boot {
		out.Load, out.LoadAt = v.load, v.loadAt
		if v.prefixesBoot == v.load.Boot {
			out.Prefixes = v.prefixes
		}
	}
	return out
}

// memberFault returns why the member prevents its group from being whole, or ""
// if it does not. It compares boot IDs, not addresses: a VM that restarted
// under its old address answers probes but has lost its state.
func (v *vmState) memberFault(g *fleet.Group, m *fleet.Member, now clock.Instant) string {
	if v == nil || v.probe.AnsweredAt == 0 {
		return "has not answered a probe yet"
	}
	if v.isLeaving(now) {
		return "is leaving"
	}
	return MemberFault(g, m, &v.probe.State)
}

// MemberFault compares a member's own report with its place in the group's
// generation. It returns the first mismatch, or "" if there is none.
func MemberFault(g *fleet.Group, m *fleet.Member, st *fleet.EngineState) string {
	switch {
	case st.Boot != m.Boot:
		return "restarted"
	case st.Leaving:
		return "is leaving"
	case st.Fence > m.Fence:
		return "follows an order with a newer fence"
	case st.Fence != 0 && st.Fence < m.Fence: // 0: the engine does not support fences
		return "has not got this generation's order"
	case st.Group != g.ID:
		return "is not in the group"
	case st.Generation != g.Generation:
		return "is in another generation"
	case st.Rank != m.Rank:
		return "has another rank"
	case !st.Loaded:
		return "is still loading"
	}
	return ""
}
