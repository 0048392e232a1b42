package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// How long a member may leave its probes unanswered before an answer of its
// group is no longer waited for. A paused member may come back and go on, so
// that an answer of which the caller has a part is given more time: another
// group could only begin it anew.
const (
	patienceBefore = 2 * time.Second
	patienceWithin = 15 * time.Second
)

// awaited is an answer that is waited for.
type awaited struct {
	group      fleet.GroupID
	generation fleet.Generation
	members    []fleet.Member
	idempotent bool
	begun      bool // the caller has a part
}

// lost returns why an answer cannot be expected of its generation any more, or
// "". Losing one member kills a replica, but its leader may hold the
// connection open without sending anything until the caller's deadline.
func lost(a *awaited, snap *view.Snapshot, now clock.Instant) string {
	for i := range a.members {
		if reason := memberLost(a, &a.members[i], snap, now); reason != "" {
			return reason
		}
	}
	return ""
}

func memberLost(a *awaited, m *fleet.Member, snap *view.Snapshot, now clock.Instant) string {
	vm := vmOf(snap, m.VM)
	if vm == nil {
		return "" // the list of VMs lags: absence from it proves nothing
	}
	p := &vm.Probe
	switch st := &p.State; {
	case st.Boot == "":
	case st.Boot != m.Boot:
		return fmt.Sprintf("member %s has restarted", m.VM)
	case st.Group == a.group && st.Generation > a.generation, st.Group != a.group && st.Fence > m.Fence:
		return fmt.Sprintf("member %s was given to %s", m.VM, placeOf(st))
	}
	if p.Failing != 0 && now.Sub(p.Failing) >= a.patience() {
		return fmt.Sprintf("member %s has not answered for %s", m.VM, now.Sub(p.Failing).Round(time.Millisecond))
	}
	return ""
}

func (a *awaited) patience() time.Duration {
	if a.begun || !a.idempotent {
		return patienceWithin
	}
	return patienceBefore
}

func placeOf(st *fleet.EngineState) string {
	if st.Group == "" {
		return "no group"
	}
	return fmt.Sprintf("%s/%d", st.Group, st.Generation)
}

func vmOf(snap *view.Snapshot, id fleet.VM) *view.VM {
	i, ok := slices.BinarySearchFunc(snap.VMs, id, func(v view.VM, id fleet.VM) int {
		return strings.Compare(string(v.Record.VM), string(id))
	})
	if !ok {
		return nil
	}
	return &snap.VMs[i]
}
