package test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/platform"
)

// Names and keys of the test fleets. Engines are in zoneA; the nodes of the
// other zones forward requests to it.
const (
	zoneA, zoneB, zoneC = "baneshwor", "lalitpur", "bhaktapur"

	callerKey     = "demo-counters"
	operatorToken = "demo-operator"
	operatorHash  = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
	replicaSize   = 4
)

const documentText = `version: 1
organisations:
  - name: counters
    # SHA-256 of the caller key "demo-counters"
    key_hashes: ["0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02"]
    weight: 10
models:
  - {name: clerk, current: "1", versions: ["1"]}
groups:
  - {name: clerk, model: clerk, model_version: "1", vms: 4, min: %d, max: %d, one_domain: true}
services:
  - {name: counter, not_repeatable: ["POST /receipts"], timeout: 5s}
objective: {downtime_weight: 10, stranding_weight: 1}
fence_checked: [%s]
`

const nodeSettings = `vm: %s
availability_zone: %s
ip: 127.0.0.1
listen: {caller: "%s", operator: "127.0.0.1:0", peer: "127.0.0.1:0"}
platform: {url: "http://%s"}
peer: {secret: "test secret, for loopback only: 0123456789"}
operators: [{name: tester, token_hash: "%s"}, {name: other, token_hash: "%s"}]
seeds: [%s]
log: {format: json}
timing: {drain_notice: 1s, revision_poll: 1s}
`

// fleetSpec describes a fleet.
type fleetSpec struct {
	zones        []string // zone of each node
	engines      int      // in zoneA, all in one fabric domain
	replicas     int      // of the one model; 0: 1
	tokensPerSec int      // per stream; 0: 200
	slots        int      // per engine; 0: 64
	ignoreFences bool
	proxied      bool   // endpoints are reached through proxies
	services     int    // in zoneA
	exitOn       string // path of the call that makes a service exit; empty: none
}

// endpoint is the process of an engine or a plain service.
type endpoint struct {
	*process
	vm     fleet.VM
	addr   string // address of the process, not of its proxy
	record fleet.Record
	proxy  *proxy // nil: the process is registered directly
}

// node is the process of an entry node.
type node struct {
	*process
	vm, zone               string
	caller, operator, peer string
	platform               *proxy
	interceptor            *writeInterceptor // between the node and the platform
	settings               func(seeds ...string) string
}

// testFleet is a fleet of processes.
type testFleet struct {
	t               *testing.T
	spec            fleetSpec
	platformProcess *process
	platformAddr    string // address of the platform
	table           *platform.Client
	engines         []*endpoint
	services        []*endpoint
	nodes           []*node
}

// startFleet starts the processes and returns when the document is in use and
// the groups serve.
func startFleet(t *testing.T, p fleetSpec) *testFleet {
	t.Helper()
	f := &testFleet{t: t, spec: p}
	f.platformProcess = startProcess(t, "platform", "standin", "platform", "--listen", "127.0.0.1:0",
		"--settings", writeFile(t, "platform.yaml", "no_limits: true\n"))
	f.platformAddr = parseListenAddr(f.platformProcess.awaitLine(t, "listening "))
	f.table = platform.NewClient("http://" + f.platformAddr)
	t.Cleanup(f.table.Close)
	for i := range p.engines {
		f.addEngine(i + 1)
	}
	for i := range p.services {
		f.addService(i + 1)
	}
	for i, zone := range p.zones {
		f.nodes = append(f.nodes, f.startNode(fmt.Sprintf("entry-%d", i+1), zone))
	}
	f.acceptDocument()
	f.awaitServing()
	return f
}

// parseListenAddr returns the address from the line in which a stand-in logs
// it.
func parseListenAddr(line string) string { return strings.TrimPrefix(line, "listening ") }

// addEngine starts an engine in zoneA.
func (f *testFleet) addEngine(i int) *endpoint {
	f.t.Helper()
	vm := fmt.Sprintf("engine-%d", i)
	text := fmt.Sprintf("vm: %s\nzone: %s\ndomain: fabric-a\naccelerators: 8\nslots: %d\ntokens_per_second: %d\n"+
		"check_fence: %t\nload_time: 50ms\nload_lag: 100ms\n",
		vm, zoneA, orDefault(f.spec.slots, 64), orDefault(f.spec.tokensPerSec, 200), !f.spec.ignoreFences)
	e := f.startEndpoint("engine", text, fleet.Record{
		VM: fleet.VM(vm), Kind: fleet.KindEngine, Zone: zoneA, Domain: "fabric-a", Accelerators: 8, State: fleet.StateLive,
	})
	f.engines = append(f.engines, e)
	return e
}

// addService starts a plain service in zoneA.
func (f *testFleet) addService(i int) *endpoint {
	f.t.Helper()
	vm := fmt.Sprintf("counter-%d", i)
	text := fmt.Sprintf("vm: %s\nzone: %s\nname: counter\nexit_on: %q\n", vm, zoneA, f.spec.exitOn)
	s := f.startEndpoint("service", text, fleet.Record{
		VM: fleet.VM(vm), Kind: fleet.KindService, Service: "counter", Zone: zoneA, State: fleet.StateLive,
	})
	f.services = append(f.services, s)
	return s
}

// startEndpoint starts a stand-in. It registers itself, or, if the fleet uses
// proxies, the address of its proxy is registered.
func (f *testFleet) startEndpoint(kind, text string, r fleet.Record) *endpoint {
	f.t.Helper()
	if !f.spec.proxied {
		text += fmt.Sprintf("platform: http://%s\n", f.platformAddr)
	}
	p := startProcess(f.t, string(r.VM), "standin", kind, "--listen", "127.0.0.1:0",
		"--settings", writeFile(f.t, string(r.VM)+".yaml", text))
	e := &endpoint{process: p, vm: r.VM, addr: parseListenAddr(p.awaitLine(f.t, "listening "))}
	e.record = r
	e.record.Addr = e.addr
	if f.spec.proxied {
		e.proxy = startProxy(f.t, string(r.VM), e.addr)
		e.record.Addr = e.proxy.addr()
		f.register(e.record)
	}
	return e
}

// register adds a record to the platform's list of VMs.
func (f *testFleet) register(r fleet.Record) {
	f.t.Helper()
	postJSON(f.t, f.platformAddr, "/admin/vms", r)
}

// startNode starts a node that reaches the platform through its own proxy and
// write interceptor.
func (f *testFleet) startNode(vm, zone string) *node {
	f.t.Helper()
	hold, addr := startWriteInterceptor(f.t, f.platformAddr)
	n := &node{vm: vm, zone: zone, interceptor: hold, platform: startProxy(f.t, vm+" to platform", addr)}
	n.settings = func(seeds ...string) string {
		return fmt.Sprintf(nodeSettings, vm, zone, "127.0.0.1:0", n.platform.addr(), operatorHash, otherHash, quoted(seeds))
	}
	n.start(f.t)
	return n
}

// start starts the node's process, also as a restart; the listen addresses
// change each time.
func (n *node) start(t *testing.T, seeds ...string) {
	t.Helper()
	n.process = startProcess(t, n.vm, "serve", "--settings", writeFile(t, n.vm+".yaml", n.settings(seeds...)))
	var a struct{ Caller, Operator, Peer string }
	must(t, json.Unmarshal([]byte(n.awaitLine(t, `"msg":"listening"`)), &a))
	n.caller, n.operator, n.peer = a.Caller, a.Operator, a.Peer
}

// quoted formats words as a comma-separated list of quoted strings.
func quoted(words []string) string {
	var out []string
	for _, w := range words {
		out = append(out, fmt.Sprintf("%q", w))
	}
	return strings.Join(out, ", ")
}

// orDefault returns v, or def if v is zero.
func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

// document returns the fleet's configuration document.
func (f *testFleet) document() string {
	n := orDefault(f.spec.replicas, 1)
	checked := `"*"`
	if f.spec.ignoreFences {
		checked = ""
	}
	return fmt.Sprintf(documentText, n, n, checked)
}

// acceptDocument applies the fleet's first document and requires that it is
// accepted.
func (f *testFleet) acceptDocument() {
	f.t.Helper()
	res, err := f.nodes[0].client().Apply(f.t.Context(), operator.ApplyRequest{Document: f.document()})
	must(f.t, err)
	if res.State != operator.ApplyAccepted {
		f.t.Fatalf("the document was not accepted: %+v", res)
	}
}

// awaitServing waits until every node reports all replicas as serving, all
// other nodes and its zone's services as present, and forwards lookups.
func (f *testFleet) awaitServing() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.awaitStatus(n, "all groups serve", func(s operator.Status) bool {
			return s.Ready && f.hasServingGroups(s) && len(s.Nodes) == len(f.nodes)-1 && countPresentServices(s) >= f.expectedServices(n.zone)
		})
		f.awaitLookup(n)
	}
}

// hasServingGroups reports whether the status shows all configured groups as
// serving.
func (f *testFleet) hasServingGroups(s operator.Status) bool {
	if f.spec.engines < replicaSize {
		return true
	}
	return len(servingGroups(s)) >= orDefault(f.spec.replicas, 1)
}

// awaitLookup waits until the node serves lookups: nodes of zones without
// services learn of the other zones' services with a delay.
func (f *testFleet) awaitLookup(n *node) {
	f.t.Helper()
	if f.spec.services == 0 {
		return
	}
	var last callResult
	waitUntil(f.t, n.vm+" serves lookups",
		func() bool {
			last = n.call(f.t.Context(), "GET", "/first", "", nil)
			return last.isComplete()
		},
		func() string { return last.String() })
}

// expectedServices returns the number of services in the zone.
func (f *testFleet) expectedServices(zone string) int {
	if zone != zoneA {
		return 0
	}
	return f.spec.services
}
