package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Bound of the states of the list that are kept for its lag.
const listStatesKept = 4096

// listState is the list of VMs as it was from an instant on. The map is never
// changed once it is in the history.
type listState struct {
	since clock.Instant
	vms   map[fleet.VM]fleet.Record
}

// vmList is the list of VMs with its past. It is not safe for concurrent use.
type vmList struct{ past []listState }

func newVMList(initial []fleet.Record) *vmList {
	vms := make(map[fleet.VM]fleet.Record, len(initial))
	for _, r := range initial {
		vms[r.VM] = withState(r)
	}
	// The first state counts as older than any lag.
	return &vmList{past: []listState{{since: -1 << 62, vms: vms}}}
}

func withState(r fleet.Record) fleet.Record {
	if r.State == "" {
		r.State = fleet.StateLive
	}
	return r
}

// change makes a new state at now by applying f to a copy of the newest.
func (l *vmList) change(now clock.Instant, f func(map[fleet.VM]fleet.Record)) {
	vms := maps.Clone(l.past[len(l.past)-1].vms)
	f(vms)
	l.past = append(l.past, listState{since: now, vms: vms})
	if len(l.past) > listStatesKept {
		l.past = slices.Clone(l.past[len(l.past)-listStatesKept:])
	}
}

// at returns the list as it was lag before now, in order of VM.
func (l *vmList) at(now clock.Instant, lag time.Duration) []fleet.Record {
	want := now.Add(-lag)
	state := l.past[0]
	for _, s := range l.past {
		if s.since.After(want) {
			break
		}
		state = s
	}
	out := slices.Collect(maps.Values(state.vms))
	slices.SortFunc(out, func(a, b fleet.Record) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}
