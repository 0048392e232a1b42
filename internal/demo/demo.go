// Package demo runs a small fleet in one process on loopback: stand-ins for the
// platform, the engines and a plain service, and one entry node in each of three
// availability zones.
package demo

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/node"
	"chervilloom/internal/operator"
	"chervilloom/internal/settings"
	"chervilloom/internal/standin"
	"chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/platform"
	"chervilloom/internal/standin/service"
)

//go:embed document.yaml
var document []byte

// Credentials and names used by the demo.
const (
	CallerKey     = "demo-counters" // caller key of the organisation "counters"
	OperatorToken = "demo-operator"
	ServiceName   = "counter"

	enginesPerZone    = 5 // one replica of four VMs and a spare VM
	readyPollInterval = 50 * time.Millisecond
	peerSecret        = "demo secret, for loopback only: 0123456789"
	// operatorTokenHash is the SHA-256 of OperatorToken.
	operatorTokenHash = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
)

// Zones are the availability zones of the demo. Only the first two have engines,
// so that callers in the third zone are served from another zone.
var Zones = []fleet.AvailabilityZone{"baneshwor", "lalitpur", "bhaktapur"}

const engineZoneCount = 2

// Fleet is a running demo fleet.
type Fleet struct {
	Platform *standin.Server
	Nodes    []*node.Node

	servers   []*standin.Server
	engines   []*engine.Engine
	cancel    context.CancelFunc
	runErrors []chan error // the error of each node's Run
	log       *slog.Logger
}

// Start starts the fleet and returns when every node has the configuration and
// sees a complete, serving group. On an error it closes what was started.
func Start(ctx context.Context, log *slog.Logger) (*Fleet, error) {
	f := &Fleet{log: log}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel = cancel
	if err := f.start(ctx, runCtx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start(ctx, runCtx context.Context) error {
	p := platform.New(platform.Options{})
	var err error
	if f.Platform, err = standin.Start("127.0.0.1:0", p); err != nil {
		return err
	}
	if err := f.startEndpoints(p); err != nil {
		return err
	}
	for i, zone := range Zones {
		if err := f.startNode(runCtx, fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	if err := f.applyDocument(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startEndpoints(p *platform.Platform) error {
	for z, zone := range Zones {
		if err := f.startService(p, zone, z); err != nil {
			return err
		}
		if z >= engineZoneCount {
			continue
		}
		for i := range enginesPerZone {
			if err := f.startEngine(p, zone, fmt.Sprintf("engine-%d-%d", z+1, i+1)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(p *platform.Platform, zone fleet.AvailabilityZone, vm string) error {
	e := engine.New(engine.Options{
		VM: fleet.VM(vm), Zone: zone, Domain: fleet.FabricDomain(zone) + "-a",
		Accelerators: 8, CheckFence: true, TokensPerSecond: 100,
	})
	f.engines = append(f.engines, e)
	s, err := standin.Start("127.0.0.1:0", e)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	p.AddVM(e.Record(s.Addr))
	return nil
}

func (f *Fleet) startService(p *platform.Platform, zone fleet.AvailabilityZone, i int) error {
	svc := service.New(service.Options{VM: fleet.VM(fmt.Sprintf("counter-%d", i+1)), Zone: zone, Name: ServiceName})
	s, err := standin.Start("127.0.0.1:0", svc)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	p.AddVM(svc.Record(s.Addr))
	return nil
}

func (f *Fleet) startNode(ctx context.Context, vm string, zone fleet.AvailabilityZone) error {
	set, err := settings.Parse(vm, []byte(fmt.Sprintf(settingsTemplate, vm, zone, f.Platform.Addr, peerSecret, operatorTokenHash)))
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{
		Settings: set, Log: f.log.With("vm", vm), Registry: prometheus.NewRegistry(), Clock: clock.Boot{},
	})
	if err != nil {
		return err
	}
	runError := make(chan error, 1)
	go func() { runError <- n.Run(ctx) }()
	f.Nodes, f.runErrors = append(f.Nodes, n), append(f.runErrors, runError)
	return nil
}

const settingsTemplate = `
vm: %s
availability_zone: %s
ip: 127.0.0.1
listen: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "127.0.0.1:0"}
platform: {url: "http://%s"}
peer: {secret: "%s"}
operators: [{name: demo, token_hash: "%s"}]
timing: {drain_notice: 100ms}
`

// applyDocument submits the configuration document to the first node. The call
// blocks until that node has joined the others or found that it is alone.
func (f *Fleet) applyDocument(ctx context.Context) error {
	res := f.Nodes[0].Apply(ctx, operator.ApplyRequest{Document: string(document)}, "demo")
	if res.State != operator.ApplyAccepted {
		return merry.Errorf("demo: the configuration document was not accepted: %s %s", res.State, res.Message)
	}
	return nil
}

// awaitReady polls until the fleet is ready or ctx is done.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for {
		if f.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("demo: timed out waiting for the fleet to be ready: %w", context.Cause(ctx))
		case <-time.After(readyPollInterval):
		}
	}
}

// isReady reports whether every node is ready and can serve the demo's requests.
func (f *Fleet) isReady() bool {
	for _, n := range f.Nodes {
		if ok, _ := n.Ready(); !ok || !canServe(n) {
			return false
		}
	}
	return true
}

// canServe reports whether the node knows a complete, serving group, an endpoint
// of the plain service in its own zone, and all other nodes.
func canServe(n *node.Node) bool {
	s := n.Status()
	whole, services := false, 0
	for _, g := range s.Groups {
		whole = whole || (g.Whole && g.Phase == string(fleet.PhaseServing))
	}
	for _, e := range s.Endpoints {
		if e.Kind == string(fleet.KindService) && e.Zone == s.Zone && e.State == "present" {
			services++
		}
	}
	return whole && services > 0 && len(s.Nodes) == len(Zones)-1
}

// Close shuts the nodes down gracefully and then closes the stand-ins. It returns
// the joined errors.
func (f *Fleet) Close() error {
	f.cancel()
	var err error
	for _, runError := range f.runErrors {
		err = errors.Join(err, <-runError)
	}
	for _, s := range f.servers {
		err = errors.Join(err, s.Close())
	}
	for _, e := range f.engines {
		e.Close()
	}
	if f.Platform != nil {
		err = errors.Join(err, f.Platform.Close())
	}
	return err
}

// Document returns the parsed configuration document of the demo.
func Document() (*config.Document, error) { return config.Parse("document.yaml", document) }
