package formation

import (
	"flag"
	"runtime/debug"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests to make their results reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	// A simulated zone occupies a few megabytes: with the default of 100, more time goes into
	// collections than into the tests.
	debug.SetGCPercent(1000)
	goleak.VerifyTestMain(m)
}
