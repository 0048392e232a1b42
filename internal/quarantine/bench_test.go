package quarantine

import (
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/clock"
)

// BenchmarkJudgeParts judges the most crashes that a tally keeps, each with 20 requests.
func BenchmarkJudgeParts(b *testing.B) {
	var t Tally
	for i := range maxCrashes {
		var runs []Run
		for k := range 20 {
			n := 20*i + k
			runs = append(runs, Run{Fingerprint: Fingerprint(fmt.Sprint(n)), Attempt: uint32(n), Parts: []PartRun{
				{Part: Part(fmt.Sprint("c", n*7%60)), PartSuccesses: PartSuccesses{Runs: 200, AgeMs: 300}},
				{Part: Part(fmt.Sprint("r", n*13%1000)), Depth: 1},
			}})
		}
		t.AddCrash("n", CrashReport{Endpoint: fmt.Sprint(i), Runs: runs}, clock.Instant(time.Hour+time.Duration(i)*time.Second))
	}
	none := func(Part) bool { return false }
	for b.Loop() {
		t.JudgeParts(none, func(Fingerprint) bool { return false })
	}
}
