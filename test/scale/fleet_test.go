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

	replicaSize     = 8
	perDomain       = 2 * replicaSize // engines of a fabric domain
	servicesPerZone = 2
	patience        = 50 * time.Second
	pollEvery       = 200 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// shape describes a fleet.
type shape struct {
	nodes   int // spread over the zones
	zones   int // up to four
	engines int // spread over the zones
	slots   int // of an engine; 0: 64
	tokens  float64
}

// testFleet is a running fleet.
type testFleet struct {
	b        *testing.B
	shape    shape
	platform *platform.Platform
	store    string // address of the platform
	services []string
	nodes    []*node
}

// startFleet returns when every node knows every other node and all replicas
// serve.
func startFleet(b *testing.B, s shape) *testFleet {
	b.Helper()
	f := &testFleet{b: b, shape: s, platform: platform.New(platform.Options{})}
	f.store = f.serve(f.platform)
	for i := range s.engines {
		f.addEngine(i)
	}
	for z := range s.zones {
		for i := range servicesPerZone {
			f.addService(zones[z], i)
		}
	}
	for i := range s.nodes {
		f.nodes = append(f.nodes, startNode(b, fmt.Sprintf("entry-%d", i), zones[i%s.zones], f.store))
	}
	f.apply(0)
	f.awaitSettled()
	return f
}

func (f *testFleet) serve(h http.Handler) string {
	f.b.Helper()
	s, err := standin.Start("127.0.0.1:0", h)
	must(f.b, err)
	f.b.Cleanup(func() { _ = s.Close() })
	return s.Addr
}

func (f *testFleet) addEngine(i int) {
	zone := i * f.shape.zones / f.shape.engines
	within := i - zone*f.shape.engines/f.shape.zones
	e := engine.New(engine.Options{
		VM: fleet.VM(fmt.Sprintf("engine-%d", i)), Zone: fleet.AvailabilityZone(zones[zone]),
		Domain:       fleet.FabricDomain(fmt.Sprintf("%s-%d", zones[zone], within/perDomain)),
		Accelerators: 8, CheckFence: true, LoadTime: engine.Immediately,
		Slots: f.shape.slots, TokensPerSecond: f.shape.tokens,
		// The members' checks of each other are the engines' own load, which is
		// not measured here.
		PeerInterval: config.Duration(2 * time.Second), PeerLost: config.Duration(time.Minute),
	})
	f.b.Cleanup(e.Close)
	f.platform.AddVM(e.Record(f.serve(e)))
}

func (f *testFleet) addService(zone string, i int) {
	s := service.New(service.Options{
		VM: fleet.VM(fmt.Sprintf("counter-%s-%d", zone, i)), Zone: fleet.AvailabilityZone(zone), Name: "counter",
	})
	addr := f.serve(s)
	f.services = append(f.services, addr)
	f.platform.AddVM(s.Record(addr))
}

// replicas is how many groups the engines make.
func (f *testFleet) replicas() int {
	n := 0
	for z := range f.shape.zones {
		of := (z+1)*f.shape.engines/f.shape.zones - z*f.shape.engines/f.shape.zones
		n += of/perDomain*(perDomain/replicaSize) + of%perDomain/replicaSize
	}
	return n
}

const organisation = `  - name: %s
    key_hashes: ["%s"]
    weight: %d
`

// counters is the SHA-256 of callerKey.
const counters = "0eb7fef755d6bb1a5f44c2d121d8fee01463b82e569cdffa118d1681f2d3dd02"

// document returns a configuration of ten organisations; change makes it differ
// from others.
func (f *testFleet) document(change int) string {
	var d strings.Builder
	fmt.Fprintf(&d, "version: 1\norganisations:\n"+organisation, "counters", counters, 10+change)
	for i := range 9 {
		fmt.Fprintf(&d, organisation, fmt.Sprintf("club-%d", i), fmt.Sprintf("%064x", i+1), 10)
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

// apply has the first node accept the document and returns its revision.
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

func (f *testFleet) awaitSettled() {
	f.b.Helper()
	began, last := time.Now(), ""
	for _, n := range f.nodes {
		for c := n.client(); ; time.Sleep(pollEvery) {
			s, err := c.Status(f.b.Context())
			if err == nil && s.Ready && len(s.Nodes) == len(f.nodes)-1 && whole(s) >= f.replicas() {
				break
			}
			last = fmt.Sprintf("%s: err %v, ready %v, %d nodes, %d of %d groups whole",
				n.vm, err, s.Ready, len(s.Nodes), whole(s), f.replicas())
			if time.Since(began) > patience {
				f.b.Fatal("the fleet did not settle: ", last)
			}
		}
	}
}

func whole(s operator.Status) int {
	n := 0
	for _, g := range s.Groups {
		if g.Whole {
			n++
		}
	}
	return n
}
