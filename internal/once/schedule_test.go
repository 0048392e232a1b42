package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/platform"
)

// step is one step of a schedule; pick selects the object that it applies to.
type step struct {
	name string
	pick int
}

var stepNames = []string{
	"first key", "first key", "first ticket", "repeat", "repeat", "repeat", "repeat vouched", "repeat other body",
	"land", "land", "land", "land late", "answer", "answer", "answer", "lose answer", "lose answer blind", "refuse down",
	"end ran", "end ran", "end ran", "end not run", "end not run", "end unknown ran", "end unknown not run",
	"restart", "cut", "leave", "time", "time",
}

func drawSteps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(stepNames).Draw(t, "what"), rapid.IntRange(0, 1000).Draw(t, "pick")}
	})
	return rapid.SliceOfN(one, 5, 60).Draw(t, "steps")
}

// perform executes one step.
func (m *model) perform(s step) {
	if s.name == "time" {
		time.Sleep(time.Duration(s.pick) * 2 * time.Millisecond)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failReads.Store(false)
	vm := m.vms[s.pick%len(m.vms)]
	switch s.name {
	case "first key":
		m.send(vm, fmt.Sprintf("k%d", len(m.tries)), "x", "", s.pick%2 == 0)
	case "first ticket":
		m.send(vm, fmt.Sprintf("t%d", len(m.tries)), "x", m.keepers[m.vms[s.pick/3%len(m.vms)]].newTicket("org"), s.pick%2 == 0)
	case "repeat", "repeat other body", "repeat vouched":
		m.repeat(vm, s)
	case "land", "land late", "answer", "lose answer", "lose answer blind", "refuse down":
		m.stepPlatform(s)
	case "end ran", "end not run", "end unknown ran", "end unknown not run":
		m.endRun(s)
	case "restart":
		m.start(vm)
	case "cut":
		m.togglePartition(vm)
	case "leave":
		if len(m.tries) > 0 {
			m.tries[s.pick%len(m.tries)].cancel()
		}
	}
}

// togglePartition partitions the VM, or reconnects it.
func (m *model) togglePartition(vm fleet.VM) {
	if m.path(vm, vm) != nil {
		m.fakeNet.setPath(vm, nil)
		return
	}
	m.fakeNet.setPath(vm, m.keepers[vm].Filter()(m))
}

func (m *model) repeat(vm fleet.VM, s step) {
	if len(m.tries) == 0 {
		return
	}
	old := m.tries[s.pick/3%len(m.tries)]
	body := old.body
	if s.name == "repeat other body" {
		body = "y"
	}
	// The caller's assertion is true: every earlier try was answered not-run.
	m.send(vm, old.key, body, old.ticket, s.name == "repeat vouched" && m.allNotRun(old.key))
}

func (m *model) allNotRun(key string) bool {
	for _, t := range m.tries {
		if t.key == key && !(t.done && t.outcome == outcome.NotRun) {
			return false
		}
	}
	return true
}

func (m *model) stepPlatform(s step) {
	if s.name == "land late" && len(m.lateTxns) > 0 {
		i := s.pick % len(m.lateTxns)
		m.apply(m.lateTxns[i].txn)
		m.lateTxns = append(m.lateTxns[:i:i], m.lateTxns[i+1:]...)
	}
	if len(m.txns) == 0 || s.name == "land late" {
		return
	}
	p := m.txns[s.pick%len(m.txns)]
	if s.name == "land" {
		if !p.applied {
			p.applied, p.result = true, m.apply(p.txn)
		}
		return
	}
	m.reply(p, s.name)
}

// reply ends the Commit call of a transaction.
func (m *model) reply(p *pendingTxn, how string) {
	if how == "refuse down" && p.applied {
		return
	}
	m.removeTxn(p)
	switch how {
	case "answer":
		if !p.applied {
			p.applied, p.result = true, m.apply(p.txn)
		}
		p.answer <- nil
	case "refuse down":
		p.answer <- platform.ErrUnavailable
	default:
		m.failReads.Store(how == "lose answer blind")
		if !p.applied {
			m.lateTxns = append(m.lateTxns, p)
		}
		p.answer <- platform.ErrAmbiguous
	}
}

func (m *model) endRun(s step) {
	if len(m.runs) == 0 {
		return
	}
	i := s.pick % len(m.runs)
	r := m.runs[i]
	m.runs = append(m.runs[:i:i], m.runs[i+1:]...)
	r.end <- s.name
}

// settle finishes all pending transactions and runs, until every try has ended.
func (m *model) settle(r *rand.Rand) {
	for range 300 {
		synctest.Wait()
		if m.settleOne(r) {
			time.Sleep(3 * time.Second)
			synctest.Wait()
			if m.allDone() {
				return
			}
		}
	}
	m.fail("a try was never answered")
}

// settleOne finishes one pending transaction or run, or reports true if there is none.
func (m *model) settleOne(r *rand.Rand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failReads.Store(false)
	switch {
	case len(m.txns) > 0:
		m.reply(m.txns[r.IntN(len(m.txns))], "answer")
	case len(m.runs) > 0:
		m.endRun(step{[]string{"end ran", "end not run", "end unknown ran"}[r.IntN(3)], r.IntN(1000)})
	default:
		return true
	}
	return false
}

// repeatAll repeats every call after everything has settled, and checks that no key
// is stuck in Running or Claiming.
func (m *model) repeatAll(r *rand.Rand) {
	from := m.sendRepeats(r)
	m.settle(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tries[from:] {
		if !t.answer.end.Complete && t.answer.end.Error.Kind == outcome.StillRunning {
			m.fail("%s is stuck", t.key)
		}
	}
}

func (m *model) sendRepeats(r *rand.Rand) (from int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.vms {
		m.fakeNet.setPath(vm, m.keepers[vm].Filter()(m))
	}
	from = len(m.tries)
	sent := map[string]bool{}
	for _, t := range m.tries[:from] {
		if !sent[t.key] {
			sent[t.key] = true
			m.send(m.vms[r.IntN(len(m.vms))], t.key, t.body, t.ticket, false)
		}
	}
	return from
}

func (m *model) allDone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.txns) > 0 || len(m.runs) > 0 {
		return false
	}
	for _, t := range m.tries {
		if !t.done {
			return false
		}
	}
	return true
}

func (m *model) run(schedule []step) error {
	for _, s := range schedule {
		m.perform(s)
		synctest.Wait()
	}
	r := rand.New(rand.NewPCG(uint64(len(schedule)), 1))
	m.settle(r)
	m.repeatAll(r)
	m.mu.Lock()
	m.closed = true
	for _, p := range m.txns {
		p.answer <- platform.ErrUnavailable
	}
	m.mu.Unlock()
	for _, stop := range m.stops {
		stop()
	}
	return m.failures
}

func TestModelRunsAtMostOnce(t *testing.T) {
	// Callers send calls with keys and tickets and repeat them on any node, while
	// writes are applied late or lose their responses, nodes restart, are partitioned
	// or resume, and callers disconnect. For any schedule: a call runs at most once,
	// the outcomes "not-run" and "ran" are true, an answer belongs to the call's own
	// run, and every try is answered.
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSteps(rt)
		var fault error
		synctest.Test(t, func(*testing.T) { fault = newModel().run(schedule) })
		if fault != nil {
			rt.Fatalf("%v\nschedule %v", fault, schedule)
		}
	})
}
