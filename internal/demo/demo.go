// Package demo runs a whole small fleet in one process on loopback: stand-ins
// of the platform, the engines and a plain service in three availability zones,
// and one entry node in each.
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

// Keys and names of the demonstration.
const (
	CallerKey     = "demo-counters" // of the organisation "counters"
	OperatorToken = "demo-operator"
	Service       = "counter"

	enginesPerZone = 5 // a replica of four and a spare
	readyPoll      = 50 * time.Millisecond
	secret         = "demo secret, for loopback only: 0123456789"
	// operatorHash is the SHA-256 of OperatorToken.
	operatorHash = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
)

// Zones are the availability zones of the demonstration; engines are in the
// first two, so that the third one's callers are served by another zone.
var Zones = []fleet.AvailabilityZone{"baneshwor", "lalitpur", "bhaktapur"}

const engineZones = 2

// Fleet is a running demonstration.
type Fleet struct {
	Platform *standin.Server
	Nodes    []*node.Node

	servers []*standin.Server
	engines []*engine.Engine
	cancel  context.CancelFunc
	ended   []chan error
	log     *slog.Logger
}

// Start starts the fleet and returns when its group serves and every node has
// the configuration.
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
	if err := f.accept(ctx); err != nil {
		return err
	}
	return f.await(ctx)
}

func (f *Fleet) startEndpoints(p *platform.Platform) error {
	for z, zone := range Zones {
		if err := f.startService(p, zone, z); err != nil {
			return err
		}
		if z >= engineZones {
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
	svc := service.New(service.Options{VM: fleet.VM(fmt.Sprintf("counter-%d", i+1)), Zone: zone, Name: Service})
	s, err := standin.Start("127.0.0.1:0", svc)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	p.AddVM(svc.Record(s.Addr))
	return nil
}

func (f *Fleet) startNode(ctx context.Context, vm string, zone fleet.AvailabilityZone) error {
	set, err := settings.Parse(vm, []byte(fmt.Sprintf(settingsTemplate, vm, zone, f.Platform.Addr, secret, operatorHash)))
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{
		Settings: set, Log: f.log.With("vm", vm), Registry: prometheus.NewRegistry(), Clock: clock.Boot{},
	})
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	f.Nodes, f.ended = append(f.Nodes, n), append(f.ended, ended)
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

// accept has the first node accept the document. The node may need a moment to
// find that it is alone or to hear the others.
func (f *Fleet) accept(ctx context.Context) error {
	res := f.Nodes[0].Apply(ctx, operator.ApplyRequest{Document: string(document)}, "demo")
	if res.State != operator.ApplyAccepted {
		return merry.Errorf("demo: the document was not accepted: %s %s", res.State, res.Message)
	}
	return nil
}

// await waits until every node is ready and sees a whole group.
func (f *Fleet) await(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("demo: the fleet was not ready in time: %w", context.Cause(ctx))
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) ready() bool {
	for _, n := range f.Nodes {
		if ok, _ := n.Ready(); !ok || !servable(n) {
			return false
		}
	}
	return true
}

// servable reports whether the node knows a whole group and an endpoint of the
// plain service.
func servable(n *node.Node) bool {
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

// Close ends the nodes gracefully, then the stand-ins.
func (f *Fleet) Close() error {
	f.cancel()
	var err error
	for _, ended := range f.ended {
		err = errors.Join(err, <-ended)
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

// Document returns the configuration document of the demonstration.
func Document() (*config.Document, error) { return config.Parse("document.yaml", document) }
