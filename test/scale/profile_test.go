package scale

import (
	"flag"
	"io"
	"net/http"
	"os"
	"testing"
	"time"
)

// profileTo names the file that BenchmarkProfile writes.
var profileTo = flag.String("profile", "", "file for the profile of a node's processor time")

// BenchmarkProfile writes what an idle node spends its processor time on.
func BenchmarkProfile(b *testing.B) {
	if *profileTo == "" {
		b.Skip("-profile FILE is not given")
	}
	for b.Loop() {
		f := startFleet(b, shape{nodes: 6, zones: 1, engines: 48})
		time.Sleep(settle)
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet,
			"http://"+f.nodes[1].operatorAddr+"/debug/pprof/profile?seconds=20", nil)
		must(b, err)
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		res, err := http.DefaultClient.Do(req)
		must(b, err)
		data, err := io.ReadAll(res.Body)
		must(b, err)
		must(b, res.Body.Close())
		must(b, os.WriteFile(*profileTo, data, 0o600))
	}
}
