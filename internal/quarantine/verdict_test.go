package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// newFleetTally returns a tally of four crashes within a second, each with the common body of all clients and
// one of two harmful requests, and the time of the last crash. run describes the harmful one's run.
func newFleetTally(successes int, run func(harmful, attempt int) Run) (*Tally, clock.Instant) {
	t, at := &Tally{}, clock.Instant(time.Hour)
	for i := range 4 {
		at = at.Add(250 * time.Millisecond)
		t.AddCrash("node", CrashReport{Endpoint: fmt.Sprint("e", i), Runs: []Run{
			{Fingerprint: "common", Attempt: uint32(100 + i), Successes: successes}, run(i%2, i),
		}}, at)
	}
	return t, at
}

func findsCommonBody(t *Tally, now clock.Instant) bool {
	for _, v := range t.Judge(func(Fingerprint) bool { return false }, func(Part) bool { return false }, now) {
		if v.Fingerprint == "common" {
			return true
		}
	}
	return false
}

// Guards against a body that all clients send and that is refused because it was at the crashes of two
// harmful requests, or of requests with two harmful parts, before it could succeed often; and against one
// that never succeeds and is spared for it.
func TestCommonBodyAtCrashesOfTwoHarmful(t *testing.T) {
	is := is.New(t)
	request := func(harmful, attempt int) Run {
		return Run{Fingerprint: Fingerprint(fmt.Sprint("harmful", harmful)), Attempt: uint32(attempt)}
	}
	part := func(harmful, attempt int) Run {
		return Run{
			Fingerprint: Fingerprint(fmt.Sprint("request", attempt)), Attempt: uint32(attempt),
			Parts: []PartRun{{Part: Part(fmt.Sprint("bad", harmful))}},
		}
	}
	for _, run := range []func(harmful, attempt int) Run{request, part} {
		tally, last := newFleetTally(4, run)
		is.True(!findsCommonBody(tally, last))
		is.True(!findsCommonBody(tally, last.Add(settleTime+time.Second)))
		tally, last = newFleetTally(0, run)
		is.True(findsCommonBody(tally, last))
	}
}

// Guards against a request that crashes every other endpoint and is spared because innocent requests were
// at some of its crashes.
func TestInnocentRequestsDoNotExplainCrashes(t *testing.T) {
	is := is.New(t)
	tally, last := newFleetTally(4, func(_, attempt int) Run {
		return Run{Fingerprint: Fingerprint(fmt.Sprint("innocent", attempt)), Attempt: uint32(attempt)}
	})
	is.True(findsCommonBody(tally, last))
}

// Guards against a part that turned harmful and is found late: behind a sound first part of its prompts that
// was used less, or because a run that began before succeeded after its first crashes.
func TestPartThatTurnedHarmful(t *testing.T) {
	is := is.New(t)
	tally, at := &Tally{}, clock.Instant(time.Hour)
	soundAt := at.Add(400 * time.Millisecond) // two crashes later
	for i := range minTurnedCrashes {
		at = at.Add(150 * time.Millisecond)
		tally.AddCrash("node", CrashReport{Endpoint: fmt.Sprint("e", i), Runs: []Run{{
			Fingerprint: Fingerprint(fmt.Sprint("request", i/2)), Attempt: uint32(i), Parts: []PartRun{
				{Part: "first", PartSuccesses: PartSuccesses{Runs: 60, AgeMs: at.Sub(clock.Instant(time.Hour)).Milliseconds()}},
				{Part: "turned", Depth: 1, PartSuccesses: PartSuccesses{Runs: 90, AgeMs: max(0, at.Sub(soundAt).Milliseconds())}},
			},
		}}}, at)
	}
	found := tally.JudgeParts(func(Part) bool { return false }, func(Fingerprint) bool { return false })
	is.Equal(len(found), 1)
	is.Equal(found[0].Part, Part("turned"))
	is.Equal(found[0].Crashes, minTurnedCrashes)
}
