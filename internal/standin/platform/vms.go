package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// maxListStates bounds the states of the list that are kept for its lag.
const maxListStates = 4096

// listState is the list of VMs from an instant on. The map is not modified after it is
// added to the history.
type listState struct {
	since clock.Instant
	vms   map[fleet.VM]fleet.Record
}

// vmList is the list of VMs with its history. It is not safe for concurrent use.
type vmList struct{ history []listState }

func newVMList(initial []fleet.Record) *vmList {
	vms := make(map[fleet.VM]fleet.Record, len(initial))
	for _, r := range initial {
		vms[r.VM] = withDefaultState(r)
	}
	// The first state is older than any lag.
	return &vmList{history: []listState{{since: -1 << 62, vms: vms}}}
}

// withDefaultState returns r with StateLive if it has no state.
func withDefaultState(r fleet.Record) fleet.Record {
	if r.State == "" {
		r.State = fleet.StateLive
	}
	return r
}

// update adds a state at now: a copy of the newest state, modified by f.
func (l *vmList) update(now clock.Instant, f func(map[fleet.VM]fleet.Record)) {
	vms := maps.Clone(l.history[len(l.history)-1].vms)
	f(vms)
	l.history = append(l.history, listState{since: now, vms: vms})
	if len(l.history) > maxListStates {
		l.history = slices.Clone(l.history[len(l.history)-maxListStates:])
	}
}

// listAt returns the list as it was lag before now, sorted by VM.
func (l *vmList) listAt(now clock.Instant, lag time.Duration) []fleet.Record {
	want := now.Add(-lag)
	state := l.history[0]
	for _, s := range l.history {
		if s.since.After(want) {
			break
		}
		state = s
	}
	out := slices.Collect(maps.Values(state.vms))
	slices.SortFunc(out, func(a, b fleet.Record) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}
