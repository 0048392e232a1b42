package cut

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/standin/netfault"
)

// Names and keys of the test fleets.
const (
	zoneA, zoneB = "baneshwor", "lalitpur"

	callerKey     = "demo-counters"
	operatorToken = "demo-operator"
	operatorHash  = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
	replicaSize   = 2

	counter = "counter" // a service in both availability zones
	ledger  = "ledger"  // a service in zoneA only: zoneB's node relays its calls
)

const documentHead = `version: 1
organisations:
  - name: counters
    # SHA-256 of the caller key "demo-counters"
    key_hashes: ["0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02"]
    weight: %d
models:
  - {name: clerk, current: "1", versions: ["1"]}
services:
  - {name: counter, not_repeatable: ["POST /receipts"], timeout: 5s}
  - {name: ledger, not_repeatable: ["POST /receipts"], timeout: 20s}
objective: {downtime_weight: 10, stranding_weight: 1}
fence_checked: ["*"]
groups:
`

const groupLine = `  - {name: clerk-%[1]s, model: clerk, model_version: "1", vms: %[2]d, min: 1, max: 1, one_domain: true, zones: [%[1]s]}
`

const nodeSettings = `vm: %s
availability_zone: %s
ip: 127.0.0.1
listen: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "%s"}
platform: {url: "http://%s"}
peer: {secret: "test secret, for loopback only: 0123456789", advertise: "%s"}
operators: [{name: tester, token_hash: "%s"}]
log: {format: json}
timing: {drain_notice: 1s, revision_poll: 1s}
`

// fleetSpec describes a fleet of one node in each of two availability zones.
type fleetSpec struct {
	groupZones   []string // availability zones with a group
	tokensPerSec int      // per stream
}

// endpoint is the process of an engine or a plain service.
type endpoint struct {
	*process
	vm, zone, addr string
}

// node is the process of an entry node, which other nodes reach through its
// relay.
type node struct {
	*process
	vm, zone         string
	caller, operator string
	relay            *netfault.Relay
}

// testFleet is a fleet of processes.
type testFleet struct {
	t            *testing.T
	spec         fleetSpec
	platformAddr string // address of the platform
	engines      []*endpoint
	services     []*endpoint
	a, b         *node // nodes of zoneA and zoneB
}

// startFleet starts the processes and returns when the document is in use, all
// groups serve and the nodes are connected.
func startFleet(t *testing.T, p fleetSpec) *testFleet {
	t.Helper()
	f := &testFleet{t: t, spec: p}
	store := startProcess(t, "platform", "standin", "platform", "--listen", "127.0.0.1:0",
		"--settings", writeFile(t, "platform.yaml", "no_limits: true\n"))
	f.platformAddr = parseListenAddr(store.awaitLine(t, "listening "))
	for _, zone := range p.groupZones {
		for i := range replicaSize {
			f.addEngine(fmt.Sprintf("engine-%s-%d", zone, i+1), zone)
		}
	}
	f.addService("counter-a", zoneA, counter)
	f.addService("counter-b", zoneB, counter)
	f.addService("ledger-a", zoneA, ledger)
	f.a, f.b = f.startNode("entry-a", zoneA), f.startNode("entry-b", zoneB)
	f.applyDocument(f.a, 0, f.document(10))
	f.awaitConnected()
	return f
}

// parseListenAddr returns the address from the line in which a stand-in logs
// it.
func parseListenAddr(line string) string { return strings.TrimPrefix(line, "listening ") }

// addEngine starts an engine in the zone.
func (f *testFleet) addEngine(vm, zone string) {
	f.t.Helper()
	text := fmt.Sprintf("vm: %s\nzone: %s\ndomain: fabric-%s\naccelerators: 8\nslots: 64\ntokens_per_second: %d\n"+
		"check_fence: true\nload_time: 50ms\nload_lag: 100ms\n", vm, zone, zone, f.spec.tokensPerSec)
	f.engines = append(f.engines, f.startEndpoint("engine", vm, zone, text))
}

// addService starts a plain service in the zone.
func (f *testFleet) addService(vm, zone, name string) {
	f.t.Helper()
	text := fmt.Sprintf("vm: %s\nzone: %s\nname: %s\n", vm, zone, name)
	f.services = append(f.services, f.startEndpoint("service", vm, zone, text))
}

// startEndpoint starts a stand-in that registers itself with the platform.
func (f *testFleet) startEndpoint(kind, vm, zone, text string) *endpoint {
	f.t.Helper()
	text += fmt.Sprintf("platform: http://%s\n", f.platformAddr)
	p := startProcess(f.t, vm, "standin", kind, "--listen", "127.0.0.1:0", "--settings", writeFile(f.t, vm+".yaml", text))
	return &endpoint{process: p, vm: vm, zone: zone, addr: parseListenAddr(p.awaitLine(f.t, "listening "))}
}

// maxStartAttempts bounds the ports that are tried for a node.
const maxStartAttempts = 5

// startNode starts a node behind a relay. Another process may bind the selected
// port before the node does; the start is then retried on another port.
func (f *testFleet) startNode(vm, zone string) *node {
	f.t.Helper()
	for range maxStartAttempts {
		if n := f.tryStartNode(vm, zone); n != nil {
			return n
		}
	}
	f.t.Fatalf("%s: no free port found", vm)
	return nil
}

// tryStartNode starts a node on a free port. It returns nil if the port was in
// use.
func (f *testFleet) tryStartNode(vm, zone string) *node {
	f.t.Helper()
	port := freePort(f.t)
	relay, err := netfault.NewRelay(port)
	must(f.t, err)
	f.t.Cleanup(func() { _ = relay.Close() }) // its sockets may have errors because the node has exited
	n := &node{vm: vm, zone: zone, relay: relay}
	text := fmt.Sprintf(nodeSettings, vm, zone, port, f.platformAddr, relay.Addr(), operatorHash)
	n.process = startProcess(f.t, vm, "serve", "--settings", writeFile(f.t, vm+".yaml", text))
	line, ended := n.awaitLineOrExit(f.t, `"msg":"listening"`)
	if ended {
		if !strings.Contains(n.tail(), "can't be bound") {
			f.t.Fatalf("%s exited:\n%s", vm, n.tail())
		}
		return nil
	}
	var l struct{ Caller, Operator string }
	must(f.t, json.Unmarshal([]byte(line), &l))
	n.caller, n.operator = l.Caller, l.Operator
	return n
}

// freePort returns a loopback address whose UDP port is currently free.
func freePort(t *testing.T) string {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// document returns the fleet's configuration document with the organisation's
// weight.
func (f *testFleet) document(weight int) string {
	text := fmt.Sprintf(documentHead, weight)
	for _, zone := range f.spec.groupZones {
		text += fmt.Sprintf(groupLine, zone, replicaSize)
	}
	return text
}

// awaitConnected waits until each node reports the other as alive, all groups
// and its zone's services, and serves lookups of both services.
func (f *testFleet) awaitConnected() {
	f.t.Helper()
	for _, n := range f.nodes() {
		f.awaitStatus(n, "sees all nodes, groups and services", func(s operator.Status) bool {
			return s.Ready && seesAlive(s, f.other(n)) && len(servingGroups(s)) == len(f.spec.groupZones) && countPresentServices(s) == f.expectedServices(n.zone)
		})
		f.awaitCall(n, counter)
		f.awaitCall(n, ledger)
	}
}

// awaitCall waits until the node serves lookups of the service.
func (f *testFleet) awaitCall(n *node, service string) {
	f.t.Helper()
	var last callResult
	waitUntil(f.t, n.vm+": lookups of "+service+" are served",
		func() bool {
			last = n.call(f.t.Context(), service, "GET", "/first", "", nil)
			return last.isComplete()
		},
		func() string { return last.String() })
}

// expectedServices returns the number of services in the zone.
func (f *testFleet) expectedServices(zone string) int {
	n := 0
	for _, s := range f.services {
		if s.zone == zone {
			n++
		}
	}
	return n
}

func (f *testFleet) nodes() []*node { return []*node{f.a, f.b} }

// other returns the node of the other zone.
func (f *testFleet) other(n *node) *node {
	if n == f.a {
		return f.b
	}
	return f.a
}

// disconnect blocks the link between the nodes in both directions.
func (f *testFleet) disconnect() { f.setBlockedDirections(true, true) }

// reconnect forwards all datagrams again.
func (f *testFleet) reconnect() { f.setBlockedDirections(false, false) }

// setBlockedDirections drops the datagrams from zoneA to zoneB, from zoneB to
// zoneA, or both. Each node dials the other's relay, so each direction is set
// on both relays.
func (f *testFleet) setBlockedDirections(aToB, bToA bool) {
	f.b.relay.Cut(aToB, bToA)
	f.a.relay.Cut(bToA, aToB)
}

// seesAlive reports whether the status shows the other node as alive.
func seesAlive(s operator.Status, other *node) bool {
	return slices.ContainsFunc(s.Nodes, func(n operator.NodeStatus) bool {
		return strings.HasPrefix(n.Node, other.vm+"#") && n.State == "alive"
	})
}

// awaitDisconnected waits until neither node reports the other as alive.
func (f *testFleet) awaitDisconnected() {
	f.t.Helper()
	for _, n := range f.nodes() {
		f.awaitStatus(n, "does not see the other node as alive", func(s operator.Status) bool { return !seesAlive(s, f.other(n)) })
	}
}

// countPresentServices returns the number of plain services that the node sees.
func countPresentServices(s operator.Status) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.Kind == string(fleet.KindService) && e.State == "present" {
			n++
		}
	}
	return n
}

// servingGroups returns the groups that accept requests.
func servingGroups(s operator.Status) []operator.GroupStatus {
	return slices.DeleteFunc(slices.Clone(s.Groups), func(g operator.GroupStatus) bool {
		return !g.Whole || g.Phase != string(fleet.PhaseServing)
	})
}
