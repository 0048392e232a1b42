package scale

import (
	"flag"
	"io"
	"net/http"
	"os"
	"testing"
	"time"
)

var (
	// profileTo names the files that BenchmarkProfile writes, with .cpu and
	// .heap after it.
	profileTo    = flag.String("profile", "", "where to write a node's profiles")
	profileNodes = flag.Int("profile-nodes", 6, "nodes of the fleet whose profiles are written")
)

// BenchmarkProfile writes what an idle node spends its processor time and
// memory on.
func BenchmarkProfile(b *testing.B) {
	if *profileTo == "" {
		b.Skip("-profile FILE is not given")
	}
	for b.Loop() {
		f := startFleet(b, shape{nodes: *profileNodes, zones: 1, engines: 48})
		time.Sleep(settle)
		f.nodes[1].profile(b, "profile?seconds=20", *profileTo+".cpu")
		f.nodes[1].profile(b, "heap", *profileTo+".heap")
	}
}

func (n *node) profile(b *testing.B, what, file string) {
	b.Helper()
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+n.operatorAddr+"/debug/pprof/"+what, nil)
	must(b, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	must(b, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	must(b, err)
	must(b, os.WriteFile(file, data, 0o600))
}
