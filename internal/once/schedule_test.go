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

// step is one step of a schedule; pick chooses among what is there.
type step struct {
	what string
	pick int
}

var stepNames = []string{
	"first key", "first key", "first ticket", "repeat", "repeat", "repeat", "repeat vouched", "repeat other body",
	"land", "land", "land", "land late", "answer", "answer", "answer", "lose answer", "lose answer blind", "refuse down",
	"end ran", "end ran", "end ran", "end not run", "end not run", "end unknown ran", "end unknown not run",
	"restart", "cut", "leave", "time", "time",
}

func steps(t *rapid.T) []step {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(stepNames).Draw(t, "what"), rapid.IntRange(0, 1000).Draw(t, "pick")}
	})
	return rapid.SliceOfN(one, 5, 60).Draw(t, "steps")
}

// do takes one step.
func (m *model) do(s step) {
	if s.what == "time" {
		time.Sleep(time.Duration(s.pick) * 2 * time.Millisecond)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blind.Store(false)
	vm := m.vms[s.pick%len(m.vms)]
	switch s.what {
	case "first key":
		m.send(vm, fmt.Sprintf("k%d", len(m.tries)), "x", "", s.pick%2 == 0)
	case "first ticket":
		m.send(vm, fmt.Sprintf("t%d", len(m.tries)), "x", m.keepers[m.vms[s.pick/3%len(m.vms)]].newTicket("org"), s.pick%2 == 0)
	case "repeat", "repeat other body", "repeat vouched":
		m.repeat(vm, s)
	case "land", "land late", "answer", "lose answer", "lose answer blind", "refuse down":
		m.platform(s)
	case "end ran", "end not run", "end unknown ran", "end unknown not run":
		m.end(s)
	case "restart":
		m.start(vm)
	case "cut":
		m.toggle(vm)
	case "leave":
		if len(m.tries) > 0 {
			m.tries[s.pick%len(m.tries)].cancel()
		}
	}
}

// toggle cuts the VM off, or joins it again.
func (m *model) toggle(vm fleet.VM) {
	if m.path(vm, vm) != nil {
		m.fakeNet.set(vm, nil)
		return
	}
	m.fakeNet.set(vm, m.keepers[vm].Filter()(m))
}

func (m *model) repeat(vm fleet.VM, s step) {
	if len(m.tries) == 0 {
		return
	}
	old := m.tries[s.pick/3%len(m.tries)]
	body := old.body
	if s.what == "repeat other body" {
		body = "y"
	}
	// A caller vouches truly: every earlier try was told not-run.
	m.send(vm, old.key, body, old.ticket, s.what == "repeat vouched" && m.allToldNotRun(old.key))
}

func (m *model) allToldNotRun(key string) bool {
	for _, t := range m.tries {
		if t.key == key && !(t.done && t.told == outcome.NotRun) {
			return false
		}
	}
	return true
}

func (m *model) platform(s step) {
	if s.what == "land late" && len(m.late) > 0 {
		i := s.pick % len(m.late)
		m.apply(m.late[i].txn)
		m.late = append(m.late[:i:i], m.late[i+1:]...)
	}
	if len(m.txns) == 0 || s.what == "land late" {
		return
	}
	p := m.txns[s.pick%len(m.txns)]
	if s.what == "land" {
		if !p.landed {
			p.landed, p.result = true, m.apply(p.txn)
		}
		return
	}
	m.reply(p, s.what)
}

// reply ends the wait for a transaction.
func (m *model) reply(p *pendingTxn, how string) {
	if how == "refuse down" && p.landed {
		return
	}
	m.forget(p)
	switch how {
	case "answer":
		if !p.landed {
			p.landed, p.result = true, m.apply(p.txn)
		}
		p.answer <- nil
	case "refuse down":
		p.answer <- platform.ErrDown
	default:
		m.blind.Store(how == "lose answer blind")
		if !p.landed {
			m.late = append(m.late, p)
		}
		p.answer <- platform.ErrAmbiguous
	}
}

func (m *model) end(s step) {
	if len(m.runs) == 0 {
		return
	}
	i := s.pick % len(m.runs)
	r := m.runs[i]
	m.runs = append(m.runs[:i:i], m.runs[i+1:]...)
	r.end <- s.what
}

// settle ends all that is pending and lets every try end.
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
	m.fail("a try never got its answer")
}

// settleOne ends one thing that is pending, or reports that there is none.
func (m *model) settleOne(r *rand.Rand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blind.Store(false)
	switch {
	case len(m.txns) > 0:
		m.reply(m.txns[r.IntN(len(m.txns))], "answer")
	case len(m.runs) > 0:
		m.end(step{[]string{"end ran", "end not run", "end unknown ran"}[r.IntN(3)], r.IntN(1000)})
	default:
		return true
	}
	return false
}

// askAll repeats every call after all has settled: no key may be stuck.
func (m *model) askAll(r *rand.Rand) {
	from := m.sendAll(r)
	m.settle(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tries[from:] {
		if !t.got.end.Whole && t.got.end.Error.Kind == outcome.StillRunning {
			m.fail("%s is stuck", t.key)
		}
	}
}

func (m *model) sendAll(r *rand.Rand) (from int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range m.vms {
		m.fakeNet.set(vm, m.keepers[vm].Filter()(m))
	}
	from = len(m.tries)
	asked := map[string]bool{}
	for _, t := range m.tries[:from] {
		if !asked[t.key] {
			asked[t.key] = true
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
		m.do(s)
		synctest.Wait()
	}
	r := rand.New(rand.NewPCG(uint64(len(schedule)), 1))
	m.settle(r)
	m.askAll(r)
	m.mu.Lock()
	m.over = true
	for _, p := range m.txns {
		p.answer <- platform.ErrDown
	}
	m.mu.Unlock()
	for _, stop := range m.stop {
		stop()
	}
	return m.fault
}

func TestModelRunsAtMostOnce(t *testing.T) {
	// Callers send calls with keys and tickets and repeat them anywhere, while
	// writes land late or lose their answers, nodes restart, are cut off and
	// wake again, and callers leave. Whatever the order: a call runs at most
	// once, "not-run" and "ran" are true, an answer is that of the call's own
	// run, and every try is answered.
	rapid.Check(t, func(rt *rapid.T) {
		schedule := steps(rt)
		var fault error
		synctest.Test(t, func(*testing.T) { fault = newModel().run(schedule) })
		if fault != nil {
			rt.Fatalf("%v\nschedule %v", fault, schedule)
		}
	})
}
