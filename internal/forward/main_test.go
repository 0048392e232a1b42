package forward

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain gives the properties a fixed seed, so that a run has the same verdict
// each time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
