package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// lookups has the callers of one node send lookups, one after the other, and counts
// what each endpoint gets. The endpoints' reports are as new as each request.
func lookups(is *is.I, r *Router, now *clock.Manual, endpoints []string, n int, took func(vm string, nth int) time.Duration) map[string]int {
	is.Helper()
	got := map[string]int{}
	for range n {
		s := snapshot("weighted")
		s.At = now.Now()
		for _, vm := range endpoints {
			e := service(vm, "z1", 0)
			e.Probe.Answered, e.LoadAt = now.Now(), now.Now()
			s.VMs = append(s.VMs, e)
		}
		ch, err := r.Pick(lookup(), s, now.Now(), nil)
		is.True(err == nil)
		vm := string(ch.VM.Record.VM)
		r.Begin(ch)
		first := took(vm, got[vm])
		got[vm]++
		now.Advance(first)
		r.End(ch, Result{OK: true, FirstByte: first, Total: first})
		now.Advance(5 * time.Millisecond)
	}
	return got
}

// Guards against a new endpoint that gets no requests because its first answers were late.
func TestEndpointWithLateFirstAnswersGetsItsShare(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r, late := router(now), minSamples
	took := func(vm string, nth int) time.Duration {
		switch {
		case vm == "new" && nth < late:
			return 30 * time.Millisecond
		case vm == "new":
			return 500 * time.Microsecond
		}
		return 400 * time.Microsecond
	}
	lookups(is, r, now, []string{"old"}, 200, took)
	lookups(is, r, now, []string{"old", "new"}, 2000, took) // 11 s: slow start and the late answers
	late = 0
	got := lookups(is, r, now, []string{"old", "new"}, 1000, took)
	is.True(got["new"] >= 400)
}

// Guards against an endpoint that is clearly slow and still gets an equal share.
func TestSlowEndpointIsDemoted(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	took := func(vm string, _ int) time.Duration {
		if vm == "slow" {
			return 30 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	got := lookups(is, router(now), now, []string{"fast", "slow"}, 1000, took)
	is.True(got["slow"] <= 20)
}
