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
	// profilePath is the path prefix of the files that BenchmarkProfile writes;
	// .cpu and .heap are appended.
	profilePath  = flag.String("profile", "", "path prefix of the profiles of a node")
	profileNodes = flag.Int("profile-nodes", 6, "number of nodes in the profiled fleet")
)

// BenchmarkProfile writes the processor and heap profiles of an idle node.
func BenchmarkProfile(b *testing.B) {
	if *profilePath == "" {
		b.Skip("-profile FILE is not set")
	}
	for b.Loop() {
		f := startFleet(b, fleetSpec{nodes: *profileNodes, zones: 1, engines: 48})
		time.Sleep(settleTime)
		f.nodes[1].profile(b, "profile?seconds=20", *profilePath+".cpu")
		f.nodes[1].profile(b, "heap", *profilePath+".heap")
	}
}

// profile writes a profile of the node to a file.
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
