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

// claimsWatch reads the tables of claims and groups over and over and notes
// what must never be.
type claimsWatch struct {
	f      *testFleet
	reads  int
	fences map[string]fleet.Fence
	wrong  []string
}

// watchClaims starts a watch; the function that it returns ends it and fails
// the test for each thing found wrong.
func (f *testFleet) watchClaims() func() {
	ctx, cancel := context.WithCancel(f.t.Context())
	w := &claimsWatch{f: f, fences: map[string]fleet.Fence{}}
	var work sync.WaitGroup
	work.Go(func() {
		for ctx.Err() == nil {
			w.look(ctx)
			time.Sleep(5 * time.Millisecond) // leaves the processor to the fleet
		}
	})
	return func() {
		f.t.Helper()
		cancel()
		work.Wait()
		if w.reads < 100 {
			f.t.Errorf("the tables were read %d times only", w.reads)
		}
		f.t.Logf("the tables were read %d times", w.reads)
		for _, s := range w.wrong {
			f.t.Error(s)
		}
	}
}

func (w *claimsWatch) look(ctx context.Context) {
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

// checkGroups looks at one read of the groups' table, which is one moment.
func (w *claimsWatch) checkGroups(rows []platform.Row) {
	holder := map[fleet.VM]fleet.GroupID{}
	for _, r := range rows {
		var g fleet.Group
		if err := json.Unmarshal(r.Value, &g); err != nil {
			w.note("group %s is not readable: %v", r.Key, err)
			continue
		}
		if g.Phase == fleet.PhaseDissolved {
			continue
		}
		for _, m := range g.Members {
			if other, ok := holder[m.VM]; ok {
				w.note("%s is in %s and in %s", m.VM, other, g.ID)
			}
			holder[m.VM] = g.ID
		}
	}
}

func (w *claimsWatch) checkFences(rows []platform.Row) {
	for _, r := range rows {
		var c view.Claim
		if err := json.Unmarshal(r.Value, &c); err != nil {
			w.note("claim of %s is not readable: %v", r.Key, err)
			continue
		}
		if c.Fence < w.fences[r.Key] {
			w.note("the fence of %s went from %d to %d", r.Key, w.fences[r.Key], c.Fence)
		}
		w.fences[r.Key] = c.Fence
	}
}

func (w *claimsWatch) note(format string, args ...any) {
	if s := fmt.Sprintf(format, args...); !slices.Contains(w.wrong, s) {
		w.wrong = append(w.wrong, s)
	}
}

// The node that holds the zone's lease is paused past its term while a member
// dies, and goes on later believing that it still holds it. The other node has
// repaired the group by then. No VM is ever in two live groups, no fence goes
// down, callers get whole answers or are told otherwise, and in the end every
// engine is where the table has it, also where engines ignore fences.
func TestLeaseHolderPausedPastItsTerm(t *testing.T) {
	t.Parallel()
	for name, ignore := range map[string]bool{"fences checked": false, "fences ignored": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, plan{zones: []string{zoneA, zoneA, zoneB}, engines: 10, replicas: 2, ignoreFences: ignore})
			stop := f.watchClaims()
			holder, other := f.leaseHolder()
			groups := wholeGroups(other.status(t))

			// The death and the pause come together: the holder has seen the
			// dead member at most as a late probe, and decides when it wakes.
			f.engine(groups[0].VMs[1]).kill()
			f.engine(groups[1].VMs[2]).kill()
			holder.signal(t, syscall.SIGSTOP)
			f.await(other, "the other node holds the lease", holdsLease)
			f.await(other, "both groups are repaired", func(s operator.Status) bool {
				return repairedSince(s, groups)
			})
			holder.signal(t, syscall.SIGCONT)
			f.awaitServing()
			f.mustAnswer()
			f.enginesAsInTable()
			stop()
		})
	}
}

// The holder's writes are under way for longer than its lease: they are held
// back while the other node takes the lease and repairs the group, and land
// then. Nothing of them takes effect, because each names the versions of the
// lease, the group and the VMs that it was planned on.
func TestLateWritesOfAnOldHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneA, zoneB}, engines: 10, replicas: 2, ignoreFences: true})
	stop := f.watchClaims()
	holder, other := f.leaseHolder()
	groups := wholeGroups(other.status(t))

	holder.writes.hold()
	f.engine(groups[0].VMs[1]).kill()
	f.engine(groups[1].VMs[2]).kill()
	until(t, "the holder has sent a repair", func() bool { return holder.writes.holding() > 0 }, func() string { return "" })
	f.await(other, "the other node holds the lease", holdsLease)
	f.await(other, "both groups are repaired", func(s operator.Status) bool { return repairedSince(s, groups) })
	before := f.groupRows()
	holder.writes.release()
	if after := f.groupRows(); after != before {
		t.Errorf("a late write took effect:\n%s\nbefore:\n%s", after, before)
	}
	f.awaitServing()
	f.mustAnswer()
	f.enginesAsInTable()
	stop()
}

// groupRows returns the rows of claims and groups as text.
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

// A holder is paused again and again for short and long times while members
// restart, so that it wakes at any step of a repair. The table stays sound.
func TestLeaseHolderPausedDuringRepairs(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneA}, engines: 9, replicas: 2, ignoreFences: true})
	stop := f.watchClaims()
	for i := range 4 {
		holder, other := f.leaseHolder()
		victim := f.engines[(3*i)%len(f.engines)]
		faults(t, victim.addr, map[string]any{"restart": true})
		if i%2 == 0 {
			f.await(holder, "the holder has begun a repair or found none needed", func(s operator.Status) bool {
				return len(wholeGroups(s)) < 2 || stateOf(s, string(victim.vm)) == "present"
			})
		}
		holder.signal(t, syscall.SIGSTOP)
		f.await(other, "the other node holds the lease", holdsLease)
		holder.signal(t, syscall.SIGCONT)
		f.awaitServing()
	}
	f.enginesAsInTable()
	f.mustAnswer()
	stop()
}

func holdsLease(s operator.Status) bool {
	return slices.ContainsFunc(s.Duties, func(d operator.DutyStatus) bool { return d.Held })
}

// leaseHolder returns the node of zoneA that holds the duty of its groups, and
// the other one.
func (f *testFleet) leaseHolder() (holder, other *node) {
	f.t.Helper()
	until(f.t, "a node holds the lease",
		func() bool {
			a, b := holdsLease(f.nodes[0].status(f.t)), holdsLease(f.nodes[1].status(f.t))
			holder, other = f.nodes[0], f.nodes[1]
			if b {
				holder, other = other, holder
			}
			return a != b
		},
		func() string { return describe(f.nodes[0].status(f.t).Duties) })
	return holder, other
}

// repairedSince reports whether two groups are whole, each in a generation that
// is not one of old.
func repairedSince(s operator.Status, old []operator.GroupStatus) bool {
	now := wholeGroups(s)
	for _, g := range now {
		for _, o := range old {
			if g.Group == o.Group && g.Generation == o.Generation {
				return false
			}
		}
	}
	return len(now) == len(old)
}

// enginesAsInTable waits until each live engine reports the group and the
// generation that the table claims it for.
func (f *testFleet) enginesAsInTable() {
	f.t.Helper()
	var differ []string
	until(f.t, "engines are where the table has them",
		func() bool {
			rows, err := f.table.List(f.t.Context(), platform.TableVMs, "")
			must(f.t, err)
			differ = nil
			for _, r := range rows {
				differ = append(differ, f.compare(r)...)
			}
			return len(differ) == 0
		},
		func() string { return fmt.Sprint(differ) })
}

func (f *testFleet) compare(r platform.Row) []string {
	e := f.engine(r.Key)
	select {
	case <-e.done:
		return nil // killed by the test
	default:
	}
	var c view.Claim
	must(f.t, json.Unmarshal(r.Value, &c))
	var s fleet.EngineState
	get(f.t, e.addr, "/state", &s)
	if s.Group != c.Group || s.Generation != c.Generation {
		return []string{fmt.Sprintf("%s reports %s/%d, claimed for %s/%d", r.Key, s.Group, s.Generation, c.Group, c.Generation)}
	}
	return nil
}

// A platform that loses every second answer and fails for moments meets groups
// that must be formed and repaired. The table stays sound throughout.
func TestGroupsFormedOverLostAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneA}, engines: 9, replicas: 2})
	stop := f.watchClaims()
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			faults(t, f.store, map[string]any{"lose_answers": 1, "drop_before": i % 2})
			time.Sleep(30 * time.Millisecond) // paces the faults; proves nothing
		}
	})
	for i := range 3 {
		groups := wholeGroups(f.await(f.nodes[0], "both groups serve", f.groupsServe))
		faults(t, f.engine(groups[0].VMs[i]).addr, map[string]any{"restart": true})
		f.await(f.nodes[0], "the group is repaired", func(s operator.Status) bool {
			return len(wholeGroups(s)) == 2 && !sameGenerations(wholeGroups(s), groups)
		})
	}
	cancel()
	work.Wait()
	f.awaitServing()
	f.enginesAsInTable()
	stop()
}

func sameGenerations(a, b []operator.GroupStatus) bool {
	return slices.EqualFunc(a, b, func(x, y operator.GroupStatus) bool {
		return x.Group == y.Group && x.Generation == y.Generation
	})
}
