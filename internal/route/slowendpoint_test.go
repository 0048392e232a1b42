package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// sendLookups sends n lookups of one node, one after the other, and returns the
// number that each endpoint got. Each request sees fresh reports of the endpoints.
func sendLookups(is *is.I, r *Router, now *clock.Manual, endpoints []string, n int, latency func(vm string, nth int) time.Duration) map[string]int {
	is.Helper()
	got := map[string]int{}
	for range n {
		s := snapshot("weighted")
		s.At = now.Now()
		for _, vm := range endpoints {
			e := service(vm, "z1", 0)
			e.Probe.AnsweredAt, e.LoadAt = now.Now(), now.Now()
			s.VMs = append(s.VMs, e)
		}
		ch, err := r.Pick(lookupRequest(), s, now.Now(), nil)
		is.True(err == nil)
		vm := string(ch.VM.Record.VM)
		r.Begin(ch)
		first := latency(vm, got[vm])
		got[vm]++
		now.Advance(first)
		r.End(ch, Result{OK: true, FirstByte: first, Total: first})
		now.Advance(5 * time.Millisecond)
	}
	return got
}

// Guards against a new endpoint that gets no requests because its first answers
// were slow.
func TestEndpointWithSlowFirstAnswersGetsItsShare(t *testing.T) {
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
	sendLookups(is, r, now, []string{"old"}, 200, took)
	sendLookups(is, r, now, []string{"old", "new"}, 2000, took) // 11 s: covers slow start and the slow answers
	late = 0
	got := sendLookups(is, r, now, []string{"old", "new"}, 1000, took)
	is.True(got["new"] >= 400)
}

// Guards against a clearly slower endpoint that still gets an equal share.
func TestSlowEndpointIsDemoted(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	took := func(vm string, _ int) time.Duration {
		if vm == "slow" {
			return 30 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	got := sendLookups(is, router(now), now, []string{"fast", "slow"}, 1000, took)
	is.True(got["slow"] <= 20)
}
