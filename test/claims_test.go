package test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// claimsWatcher reads the claim and group tables repeatedly and records
// violations of their invariants.
type claimsWatcher struct {
	f          *testFleet
	reads      int
	fences     map[string]fleet.Fence
	violations []string
}

// watchClaims starts a watcher. The returned function stops it and fails the
// test for each violation.
func (f *testFleet) watchClaims() func() {
	ctx, cancel := context.WithCancel(f.t.Context())
	w := &claimsWatcher{f: f, fences: map[string]fleet.Fence{}}
	var work sync.WaitGroup
	work.Go(func() {
		for ctx.Err() == nil {
			w.readTables(ctx)
			time.Sleep(5 * time.Millisecond) // leaves processor time for the fleet
		}
	})
	return func() {
		f.t.Helper()
		cancel()
		work.Wait()
		if w.reads < 100 {
			f.t.Errorf("the tables were read only %d times", w.reads)
		}
		f.t.Logf("the tables were read %d times", w.reads)
		for _, s := range w.violations {
			f.t.Error(s)
		}
	}
}

func (w *claimsWatcher) readTables(ctx context.Context) {
	groups, err := w.f.table.List(ctx, platform.TableGroups, "")
	if err != nil {
		return
	}
	claims, err := w.f.table.List(ctx, platform.TableVMs, "")
	if err != nil {
		return
	}
	w.reads++
	w.checkGroups(groups)
	w.checkFences(claims)
}

// checkGroups checks one read of the group table, which is a consistent
// snapshot: no VM may be a member of two groups that are not dissolved.
func (w *claimsWatcher) checkGroups(rows []platform.Row) {
	groupOf := map[fleet.VM]fleet.GroupID{}
	for _, r := range rows {
		var g fleet.Group
		if err := json.Unmarshal(r.Value, &g); err != nil {
			w.recordViolation("group %s: decoding failed: %v", r.Key, err)
			continue
		}
		if g.Phase == fleet.PhaseDissolved {
			continue
		}
		for _, m := range g.Members {
			if other, ok := groupOf[m.VM]; ok {
				w.recordViolation("%s is a member of both %s and %s", m.VM, other, g.ID)
			}
			groupOf[m.VM] = g.ID
		}
	}
}

// checkFences checks that no fence has decreased since the previous read.
func (w *claimsWatcher) checkFences(rows []platform.Row) {
	for _, r := range rows {
		var c view.Claim
		if err := json.Unmarshal(r.Value, &c); err != nil {
			w.recordViolation("claim of %s: decoding failed: %v", r.Key, err)
			continue
		}
		if c.Fence < w.fences[r.Key] {
			w.recordViolation("the fence of %s decreased from %d to %d", r.Key, w.fences[r.Key], c.Fence)
		}
		w.fences[r.Key] = c.Fence
	}
}

func (w *claimsWatcher) recordViolation(format string, args ...any) {
	if s := fmt.Sprintf(format, args...); !slices.Contains(w.violations, s) {
		w.violations = append(w.violations, s)
	}
}

// The holder of the zone's lease is paused until after the lease expires while
// a member fails in each group, and resumes with stale lease state after the
// other node has repaired the groups. No VM may be in two live groups, no fence
// may decrease, callers must get complete responses or errors, and every engine
// must end up in the group that the table claims it for, including engines that
// ignore fences.
func TestLeaseHolderPausedPastItsTerm(t *testing.T) {
	t.Parallel()
	for name, ignore := range map[string]bool{"fences checked": false, "fences ignored": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA, zoneB}, engines: 10, replicas: 2, ignoreFences: ignore})
			stop := f.watchClaims()
			holder, other := f.leaseHolder()
			groups := servingGroups(other.status(t))

			// The members fail and the holder is paused together: the holder has at
			// most seen late probes, and decides after it resumes.
			f.engine(groups[0].VMs[1]).kill()
			f.engine(groups[1].VMs[2]).kill()
			holder.signal(t, syscall.SIGSTOP)
			f.awaitStatus(other, "the other node holds the lease", holdsLease)
			f.awaitStatus(other, "both groups are repaired", func(s operator.Status) bool {
				return repairedSince(s, groups)
			})
			holder.signal(t, syscall.SIGCONT)
			f.awaitServing()
			f.checkNodesAnswer()
			f.awaitEnginesMatchTable()
			stop()
		})
	}
}

// The holder's writes are delayed for longer than its lease: they reach the
// platform after the other node has acquired the lease and repaired the groups.
// They must have no effect, because each is conditional on the versions of the
// lease, the group and the VMs that it was planned on.
func TestDelayedWritesOfFormerLeaseHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA, zoneB}, engines: 10, replicas: 2, ignoreFences: true})
	stop := f.watchClaims()
	holder, other := f.leaseHolder()
	groups := servingGroups(other.status(t))

	holder.interceptor.hold()
	f.engine(groups[0].VMs[1]).kill()
	f.engine(groups[1].VMs[2]).kill()
	waitUntil(t, "the holder has sent a repair transaction", func() bool { return holder.interceptor.heldGroupWrites() > 0 }, func() string { return "" })
	f.awaitStatus(other, "the other node holds the lease", holdsLease)
	f.awaitStatus(other, "both groups are repaired", func(s operator.Status) bool { return repairedSince(s, groups) })
	before := f.groupRows()
	holder.interceptor.release()
	if after := f.groupRows(); after != before {
		t.Errorf("a delayed write took effect:\n%s\nbefore:\n%s", after, before)
	}
	f.awaitServing()
	f.checkNodesAnswer()
	f.awaitEnginesMatchTable()
	stop()
}

// groupRows returns the rows of the claim and group tables as text.
func (f *testFleet) groupRows() string {
	f.t.Helper()
	var out strings.Builder
	for _, table := range []string{platform.TableVMs, platform.TableGroups} {
		rows, err := f.table.List(f.t.Context(), table, "")
		must(f.t, err)
		for _, r := range rows {
			fmt.Fprintf(&out, "%s %s %s\n", r.Table, r.Key, r.Value)
		}
	}
	return out.String()
}

// The lease holder is paused repeatedly while members restart, so that it
// resumes at different steps of a repair. The table invariants must hold
// throughout.
func TestLeaseHolderPausedDuringRepairs(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA}, engines: 9, replicas: 2, ignoreFences: true})
	stop := f.watchClaims()
	for i := range 4 {
		holder, other := f.leaseHolder()
		victim := f.engines[(3*i)%len(f.engines)]
		setFaults(t, victim.addr, map[string]any{"restart": true})
		if i%2 == 0 {
			f.awaitStatus(holder, "the holder has started a repair or found none needed", func(s operator.Status) bool {
				return len(servingGroups(s)) < 2 || endpointState(s, string(victim.vm)) == "present"
			})
		}
		holder.signal(t, syscall.SIGSTOP)
		f.awaitStatus(other, "the other node holds the lease", holdsLease)
		holder.signal(t, syscall.SIGCONT)
		f.awaitServing()
	}
	f.awaitEnginesMatchTable()
	f.checkNodesAnswer()
	stop()
}

// holdsLease reports whether the node holds a duty's lease.
func holdsLease(s operator.Status) bool {
	return slices.ContainsFunc(s.Duties, func(d operator.DutyStatus) bool { return d.Held })
}

// leaseHolder returns the node of zoneA that holds the lease of its groups, and
// the zone's other node.
func (f *testFleet) leaseHolder() (holder, other *node) {
	f.t.Helper()
	waitUntil(f.t, "exactly one node holds the lease",
		func() bool {
			a, b := holdsLease(f.nodes[0].status(f.t)), holdsLease(f.nodes[1].status(f.t))
			holder, other = f.nodes[0], f.nodes[1]
			if b {
				holder, other = other, holder
			}
			return a != b
		},
		func() string { return formatJSON(f.nodes[0].status(f.t).Duties) })
	return holder, other
}

// repairedSince reports whether as many groups serve as in old, each in a
// generation that is not in old.
func repairedSince(s operator.Status, old []operator.GroupStatus) bool {
	now := servingGroups(s)
	for _, g := range now {
		for _, o := range old {
			if g.Group == o.Group && g.Generation == o.Generation {
				return false
			}
		}
	}
	return len(now) == len(old)
}

// awaitEnginesMatchTable waits until each running engine reports the group and
// generation that the table claims it for.
func (f *testFleet) awaitEnginesMatchTable() {
	f.t.Helper()
	var mismatches []string
	waitUntil(f.t, "engines report the groups that the table claims them for",
		func() bool {
			rows, err := f.table.List(f.t.Context(), platform.TableVMs, "")
			must(f.t, err)
			mismatches = nil
			for _, r := range rows {
				mismatches = append(mismatches, f.engineMismatch(r)...)
			}
			return len(mismatches) == 0
		},
		func() string { return fmt.Sprint(mismatches) })
}

// engineMismatch compares the state of an engine with its claim and returns the
// difference, if any.
func (f *testFleet) engineMismatch(r platform.Row) []string {
	e := f.engine(r.Key)
	select {
	case <-e.done:
		return nil // killed by the test
	default:
	}
	var c view.Claim
	must(f.t, json.Unmarshal(r.Value, &c))
	var s fleet.EngineState
	getJSON(f.t, e.addr, "/state", &s)
	if s.Group != c.Group || s.Generation != c.Generation {
		return []string{fmt.Sprintf("%s reports %s/%d but is claimed for %s/%d", r.Key, s.Group, s.Generation, c.Group, c.Generation)}
	}
	return nil
}

// Groups are formed and repaired while the platform intermittently loses
// responses and drops requests. The table invariants must hold throughout.
func TestGroupsFormedDespiteLostPlatformAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA}, engines: 9, replicas: 2})
	stop := f.watchClaims()
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			setFaults(t, f.platformAddr, map[string]any{"lose_answers": 1, "drop_before": i % 2})
			time.Sleep(30 * time.Millisecond) // interval between faults; no check depends on it
		}
	})
	for i := range 3 {
		groups := servingGroups(f.awaitStatus(f.nodes[0], "both groups are serving", f.hasServingGroups))
		setFaults(t, f.engine(groups[0].VMs[i]).addr, map[string]any{"restart": true})
		f.awaitStatus(f.nodes[0], "the group is repaired", func(s operator.Status) bool {
			return len(servingGroups(s)) == 2 && !sameGenerations(servingGroups(s), groups)
		})
	}
	cancel()
	work.Wait()
	f.awaitServing()
	f.awaitEnginesMatchTable()
	stop()
}

// sameGenerations reports whether a and b contain the same groups and
// generations in the same order.
func sameGenerations(a, b []operator.GroupStatus) bool {
	return slices.EqualFunc(a, b, func(x, y operator.GroupStatus) bool {
		return x.Group == y.Group && x.Generation == y.Generation
	})
}
