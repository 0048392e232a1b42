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

// How long a member may fail its probes before the pending response of its group is given
// up. A paused member may recover and continue, so the limit is higher once the caller
// has a part of the response: another group could only start over.
const (
	maxSilenceBeforeAnswer = 2 * time.Second
	maxSilenceWithinAnswer = 15 * time.Second
)

// pendingAnswer is a response that has not arrived completely.
type pendingAnswer struct {
	group      fleet.GroupID
	generation fleet.Generation
	members    []fleet.Member
	idempotent bool
	started    bool // a part of the response was sent to the caller
}

// lostReason returns why a pending response cannot arrive any more, or "". Losing one
// member stops a replica, but its leader may keep the connection open without sending
// anything until the caller's deadline.
func lostReason(a *pendingAnswer, snap *view.Snapshot, now clock.Instant) string {
	for i := range a.members {
		if reason := memberLostReason(a, &a.members[i], snap, now); reason != "" {
			return reason
		}
	}
	return ""
}

func memberLostReason(a *pendingAnswer, m *fleet.Member, snap *view.Snapshot, now clock.Instant) string {
	vm := findVM(snap, m.VM)
	if vm == nil {
		return "" // the VM list may be outdated: absence is no evidence of a loss
	}
	p := &vm.Probe
	switch st := &p.State; {
	case st.Boot == "":
	case st.Boot != m.Boot:
		return fmt.Sprintf("member %s has restarted", m.VM)
	case st.Group == a.group && st.Generation > a.generation, st.Group != a.group && st.Fence > m.Fence:
		return fmt.Sprintf("member %s was given to %s", m.VM, assignmentOf(st))
	}
	if p.FailingSince != 0 && now.Sub(p.FailingSince) >= a.maxSilence() {
		return fmt.Sprintf("member %s has not answered for %s", m.VM, now.Sub(p.FailingSince).Round(time.Millisecond))
	}
	return ""
}

func (a *pendingAnswer) maxSilence() time.Duration {
	if a.started || !a.idempotent {
		return maxSilenceWithinAnswer
	}
	return maxSilenceBeforeAnswer
}

func assignmentOf(st *fleet.EngineState) string {
	if st.Group == "" {
		return "no group"
	}
	return fmt.Sprintf("%s/%d", st.Group, st.Generation)
}

func findVM(snap *view.Snapshot, id fleet.VM) *view.VM {
	i, ok := slices.BinarySearchFunc(snap.VMs, id, func(v view.VM, id fleet.VM) int {
		return strings.Compare(string(v.Record.VM), string(id))
	})
	if !ok {
		return nil
	}
	return &snap.VMs[i]
}
