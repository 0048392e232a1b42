package experiment

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
)

const (
	operatorToken = "experiment-operator"
	keyA, keyB    = "experiment-a", "experiment-b" // caller keys of the two organisations
	replicaSize   = 2
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

const documentText = `version: 1
organisations:
  - {name: org-a, key_hashes: ["%x"], weight: 10%s}
  - {name: org-b, key_hashes: ["%x"], weight: 10}
models:
  - {name: clerk, current: "1", versions: ["1"]}
groups:
  - {name: clerk, model: clerk, model_version: "1", vms: %d, min: %d, max: %d, one_domain: true}
services:
  - {name: counter, not_repeatable: ["POST /receipts"], timeout: 5s}
objective: {downtime_weight: 10, stranding_weight: 1}
fence_checked: ["*"]
`

const nodeSettings = `vm: %s
availability_zone: %s
ip: 127.0.0.1
listen: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "127.0.0.1:0"}
platform: {url: "http://%s"}
peer: {secret: "experiment secret, for loopback only: 0123456789"}
operators: [{name: experiment, token_hash: "%x"}]
log: {format: json}
timing: {drain_notice: 100ms}
`

const engineSettings = `vm: %s
zone: %s
domain: %s
accelerators: 8
slots: %d
tokens_per_second: %d
check_fence: true
load_time: 50ms
load_lag: 100ms
platform: http://%s
`

// fleetSpec describes a fleet. Each domain contains one replica. Domains, nodes
// and services are assigned to the zones in turn.
type fleetSpec struct {
	nodes, zones, domains, services int
	slots, tokens                   int    // per engine: concurrent requests, tokens per second of each
	limitsA                         string // additional document settings of organisation A
}

// endpoint is the process of an engine or a plain service.
type endpoint struct {
	*process
	addr, zone, domain string
}

// node is the process of an entry node.
type node struct {
	*process
	vm, zone             string
	caller, operatorAddr string
}

// client returns an operator client for the node.
func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operatorAddr, operatorToken)
}

// testFleet is a running fleet.
type testFleet struct {
	tb           testing.TB
	spec         fleetSpec
	platform     *endpoint
	platformAddr string // address of the platform
	engines      []*endpoint
	services     []*endpoint
	nodes        []*node
}

// startFleet starts a fleet and returns when every node reports all other nodes
// and all groups.
func startFleet(tb testing.TB, s fleetSpec) *testFleet {
	tb.Helper()
	f := &testFleet{tb: tb, spec: s}
	f.platform = f.startStandin("platform", "platform", "no_limits: true\n")
	f.platformAddr = f.platform.addr
	for d := range s.domains {
		for i := range replicaSize {
			f.addEngine(d, i)
		}
	}
	for i := range s.services {
		zone, vm := zones[i%s.zones], fmt.Sprintf("counter-%d", i)
		e := f.startStandin("service", vm, fmt.Sprintf("vm: %s\nzone: %s\nname: counter\nplatform: http://%s\n", vm, zone, f.platformAddr))
		e.zone = zone
		f.services = append(f.services, e)
	}
	for i := range s.nodes {
		f.addNode(fmt.Sprintf("entry-%d", i), zones[i%s.zones])
	}
	f.apply()
	f.awaitSettled()
	return f
}

// startStandin starts a stand-in process and returns it with its address.
func (f *testFleet) startStandin(kind, name, settings string) *endpoint {
	f.tb.Helper()
	p := startProcess(f.tb, name, settings, "standin", kind, "--listen", "127.0.0.1:0")
	return &endpoint{process: p, addr: strings.TrimPrefix(p.awaitLine(f.tb, "listening "), "listening ")}
}

// addEngine starts the i-th engine of the domain.
func (f *testFleet) addEngine(d, i int) {
	f.tb.Helper()
	vm, zone, domain := fmt.Sprintf("engine-%d-%d", d, i), zones[d%f.spec.zones], fmt.Sprintf("fabric-%d", d)
	e := f.startStandin("engine", vm, fmt.Sprintf(engineSettings, vm, zone, domain, f.spec.slots, f.spec.tokens, f.platformAddr))
	e.zone, e.domain = zone, domain
	f.engines = append(f.engines, e)
}

// addNode starts an entry node.
func (f *testFleet) addNode(vm, zone string) {
	f.tb.Helper()
	settings := fmt.Sprintf(nodeSettings, vm, zone, f.platformAddr, sha256.Sum256([]byte(operatorToken)))
	n := &node{process: startProcess(f.tb, vm, settings, "serve"), vm: vm, zone: zone}
	var a struct{ Caller, Operator string }
	must(f.tb, json.Unmarshal([]byte(n.awaitLine(f.tb, `"msg":"listening"`)), &a))
	n.caller, n.operatorAddr = a.Caller, a.Operator
	f.nodes = append(f.nodes, n)
}

// apply applies the fleet's document and requires that it is accepted.
func (f *testFleet) apply() {
	f.tb.Helper()
	d := fmt.Sprintf(documentText, sha256.Sum256([]byte(keyA)), f.spec.limitsA, sha256.Sum256([]byte(keyB)),
		replicaSize, f.spec.domains, f.spec.domains)
	res, err := f.nodes[0].client().Apply(f.tb.Context(), operator.ApplyRequest{Document: d})
	must(f.tb, err)
	if res.State != operator.ApplyAccepted {
		f.tb.Fatalf("the document was not accepted: %+v", res)
	}
}

// awaitSettled waits until every node is ready, reports all other nodes and
// groups, and serves lookups.
func (f *testFleet) awaitSettled() {
	f.tb.Helper()
	for _, n := range f.nodes {
		var last operator.Status
		waitUntil(f.tb, n.vm+" sees all groups and nodes", func() bool {
			var err error
			last, err = n.client().Status(f.tb.Context())
			return err == nil && last.Ready && len(last.Nodes) == len(f.nodes)-1 && len(servingGroups(last)) == f.spec.domains
		}, func() string { return fmt.Sprintf("%+v", last) })
		if f.spec.services > 0 {
			f.awaitLookup(n)
		}
	}
}

// awaitLookup waits until the node serves lookups.
func (f *testFleet) awaitLookup(n *node) {
	f.tb.Helper()
	waitUntil(f.tb, n.vm+" serves lookups", func() bool {
		req, err := http.NewRequestWithContext(f.tb.Context(), http.MethodGet, "http://"+n.caller+"/services/counter/first", nil)
		must(f.tb, err)
		req.Header.Set("Authorization", "Bearer "+keyB)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, func() string { return "no response with status 200" })
}

// servingGroups returns the groups that accept requests.
func servingGroups(s operator.Status) []operator.GroupStatus {
	return slices.DeleteFunc(s.Groups, func(g operator.GroupStatus) bool {
		return !g.Whole || g.Phase != string(fleet.PhaseServing)
	})
}

// callerAddrs returns the addresses that the nodes serve callers on.
func callerAddrs(nodes []*node) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, n.caller)
	}
	return out
}

// setFaults sets the given faults of a stand-in; other faults are unchanged.
func (e *endpoint) setFaults(tb testing.TB, set map[string]any) {
	tb.Helper()
	b, err := json.Marshal(set)
	must(tb, err)
	res, err := http.Post("http://"+e.addr+"/faults", "application/json", bytes.NewReader(b))
	must(tb, err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		tb.Fatalf("setting faults of %s: %s", e.name, res.Status)
	}
}

// executions returns how often each request ran, summed over the engines.
func (f *testFleet) executions() map[string]int {
	f.tb.Helper()
	all := map[string]int{}
	for _, e := range f.engines {
		res, err := http.Get("http://" + e.addr + "/executions")
		must(f.tb, err)
		var counts map[string]int
		err = json.NewDecoder(res.Body).Decode(&counts)
		must(f.tb, res.Body.Close())
		must(f.tb, err)
		for id, n := range counts {
			all[id] += n
		}
	}
	return all
}

// sumCounters adds up, over all nodes, the metrics whose name and labels
// contain all parts.
func (f *testFleet) sumCounters(parts ...string) float64 {
	f.tb.Helper()
	total := 0.0
	for _, n := range f.nodes {
		res, err := http.Get("http://" + n.operatorAddr + "/metrics")
		must(f.tb, err)
		text, err := io.ReadAll(res.Body)
		must(f.tb, res.Body.Close())
		must(f.tb, err)
		for line := range strings.Lines(string(text)) {
			total += matchingValue(strings.TrimSpace(line), parts)
		}
	}
	return total
}

// matchingValue returns the value of a metrics line that contains all parts,
// else 0.
func matchingValue(line string, parts []string) float64 {
	if strings.HasPrefix(line, "#") {
		return 0
	}
	for _, p := range parts {
		if !strings.Contains(line, p) {
			return 0
		}
	}
	v, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	if err != nil {
		return 0
	}
	return v
}

// loadAverage returns the one-minute load average of the machine, to detect
// other load.
func loadAverage(tb testing.TB) float64 {
	tb.Helper()
	text, err := os.ReadFile("/proc/loadavg")
	must(tb, err)
	v, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	must(tb, err)
	return v
}
