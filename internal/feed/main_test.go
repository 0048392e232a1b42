package feed

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain sets a fixed seed for the property tests, so that every run has the same result,
// and checks for leaked goroutines.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
