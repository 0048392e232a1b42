package scale

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/standin"
	"chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/platform"
	"chervilloom/internal/standin/service"
)

const (
	callerKey     = "demo-counters"
	operatorToken = "demo-operator"
	operatorHash  = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"

	replicaSize      = 8
	enginesPerDomain = 2 * replicaSize // engines in a fabric domain
	servicesPerZone  = 2
	waitTimeout      = 50 * time.Second
	pollInterval     = 200 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// fleetSpec describes a fleet.
type fleetSpec struct {
	nodes   int     // distributed over the zones
	zones   int     // up to four
	engines int     // distributed over the zones
	slots   int     // per engine; 0: 64
	tokens  float64 // per second of a stream; 0: the default of the stand-in
}

// testFleet is a running fleet.
type testFleet struct {
	b            *testing.B
	spec         fleetSpec
	platform     *platform.Platform
	platformAddr string // address of the platform
	services     []string
	nodes        []*node
}

// startFleet starts a fleet and returns when every node reports all other nodes
// and all replicas.
func startFleet(b *testing.B, s fleetSpec) *testFleet {
	b.Helper()
	f := &testFleet{b: b, spec: s, platform: platform.New(platform.Options{})}
	f.platformAddr = f.serve(f.platform)
	for i := range s.engines {
		f.addEngine(i)
	}
	for z := range s.zones {
		for i := range servicesPerZone {
			f.addService(zones[z], i)
		}
	}
	for i := range s.nodes {
		f.nodes = append(f.nodes, startNode(b, fmt.Sprintf("entry-%d", i), zones[i%s.zones], f.platformAddr))
	}
	f.apply(0)
	f.awaitSettled()
	return f
}

// serve starts a server for the handler and returns its address.
func (f *testFleet) serve(h http.Handler) string {
	f.b.Helper()
	s, err := standin.Start("127.0.0.1:0", h)
	must(f.b, err)
	f.b.Cleanup(func() { _ = s.Close() })
	return s.Addr
}

// addEngine starts the i-th engine and registers it with the platform.
func (f *testFleet) addEngine(i int) {
	zone := i * f.spec.zones / f.spec.engines
	within := i - zone*f.spec.engines/f.spec.zones
	e := engine.New(engine.Options{
		VM: fleet.VM(fmt.Sprintf("engine-%d", i)), Zone: fleet.AvailabilityZone(zones[zone]),
		Domain:       fleet.FabricDomain(fmt.Sprintf("%s-%d", zones[zone], within/enginesPerDomain)),
		Accelerators: 8, CheckFence: true, LoadTime: engine.NoDelay,
		Slots: f.spec.slots, TokensPerSecond: f.spec.tokens,
		// Long intervals, because the load of the members' probes of each other
		// is not measured here.
		PeerInterval: config.Duration(2 * time.Second), PeerLossTimeout: config.Duration(time.Minute),
	})
	f.b.Cleanup(e.Close)
	f.platform.AddVM(e.Record(f.serve(e)))
}

// addService starts a plain service and registers it with the platform.
func (f *testFleet) addService(zone string, i int) {
	s := service.New(service.Options{
		VM: fleet.VM(fmt.Sprintf("counter-%s-%d", zone, i)), Zone: fleet.AvailabilityZone(zone), Name: "counter",
	})
	addr := f.serve(s)
	f.services = append(f.services, addr)
	f.platform.AddVM(s.Record(addr))
}

// replicas returns the number of groups that the engines can form.
func (f *testFleet) replicas() int {
	n := 0
	for z := range f.spec.zones {
		zoneEngines := (z+1)*f.spec.engines/f.spec.zones - z*f.spec.engines/f.spec.zones
		n += zoneEngines/enginesPerDomain*(enginesPerDomain/replicaSize) + zoneEngines%enginesPerDomain/replicaSize
	}
	return n
}

const organisationText = `  - name: %s
    key_hashes: ["%s"]
    weight: %d
`

// callerKeyHash is the SHA-256 hash of callerKey.
const callerKeyHash = "0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02"

// document returns a configuration with ten organisations; each change number
// gives a different document.
func (f *testFleet) document(change int) string {
	var d strings.Builder
	fmt.Fprintf(&d, "version: 1\norganisations:\n"+organisationText, "counters", callerKeyHash, 10+change)
	for i := range 9 {
		fmt.Fprintf(&d, organisationText, fmt.Sprintf("club-%d", i), fmt.Sprintf("%064x", i+1), 10)
	}
	fmt.Fprintf(&d, `models:
  - {name: clerk, current: "1", versions: ["1"]}
groups:
  - {name: clerk, model: clerk, model_version: "1", vms: %d, min: %d, max: %d, one_domain: true}
services:
  - {name: counter, not_repeatable: ["POST /receipts"], timeout: 5s}
objective: {downtime_weight: 10, stranding_weight: 1}
fence_checked: ["*"]
`, replicaSize, f.replicas(), f.replicas())
	return d.String()
}

// apply applies the document through the first node, requires that it is
// accepted, and returns its revision.
func (f *testFleet) apply(change int) uint64 {
	f.b.Helper()
	base, err := f.nodes[0].client().Config(f.b.Context())
	must(f.b, err)
	res, err := f.nodes[0].client().Apply(f.b.Context(), operator.ApplyRequest{Base: base.Revision, Document: f.document(change)})
	must(f.b, err)
	if res.State != operator.ApplyAccepted {
		f.b.Fatalf("the document was not accepted: %+v", res)
	}
	return res.Revision
}

// awaitSettled waits until every node is ready and reports all other nodes and
// all groups as complete.
func (f *testFleet) awaitSettled() {
	f.b.Helper()
	began, last := time.Now(), ""
	for _, n := range f.nodes {
		for c := n.client(); ; time.Sleep(pollInterval) {
			s, err := c.Status(f.b.Context())
			if err == nil && s.Ready && len(s.Nodes) == len(f.nodes)-1 && countCompleteGroups(s) >= f.replicas() {
				break
			}
			last = fmt.Sprintf("%s: err %v, ready %v, %d nodes, %d of %d groups complete",
				n.vm, err, s.Ready, len(s.Nodes), countCompleteGroups(s), f.replicas())
			if time.Since(began) > waitTimeout {
				f.b.Fatal("the fleet did not settle: ", last)
			}
		}
	}
}

// countCompleteGroups returns the number of groups with all their members.
func countCompleteGroups(s operator.Status) int {
	n := 0
	for _, g := range s.Groups {
		if g.Whole {
			n++
		}
	}
	return n
}
