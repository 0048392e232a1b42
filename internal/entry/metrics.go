package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chervilloom/internal/roster"
)

// registerGauges registers the metrics of the configuration, the endpoint list, the duties
// and the feed.
func (n *Node) registerGauges(reg prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("chervilloom_config_version", "Version of the configuration in force.", func() float64 {
		return float64(n.config.version())
	})
	gauge("chervilloom_config_age_seconds", "Time since the read that confirmed the configuration began.", func() float64 {
		return n.config.age(n.Clock.Now()).Seconds()
	})
	gauge("chervilloom_roster_age_seconds", "Time since the read of the endpoints began.", func() float64 {
		return n.Clock.Now().Sub(n.roster.current.Load().RequestedAt).Seconds()
	})
	gauge("chervilloom_roster_heads", "Heads of groups that take requests, as this node knows them.", n.countHeads)
	n.roster.rejectCounter = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chervilloom_roster_rejected_total", Help: "Entries of the list that named no endpoint to use, each read anew.",
	})
	n.conversions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "chervilloom_supply_conversions_total", Help: "Conversions of groups to another model that this node began.",
	})
	reg.MustRegister(n.roster.rejectCounter, n.conversions)
	gauge("chervilloom_retry_budget_nodes", "Nodes among which the slack of the retry budget is divided; 0: unknown, and this node uses none.", func() float64 {
		return float64(n.budgetNodes())
	})
	gauge("chervilloom_zones_evacuated", "Availability zones that the operator evacuates, as this node knows.", func() float64 {
		return float64(len(n.evacuations.evacuated()))
	})
	gauge("chervilloom_duty_held_zones", "Availability zones whose groups this node runs.", n.countDuties)
	gauge("chervilloom_memory_held_bytes", "Bytes of heads and bodies of requests and responses that are held for clients and endpoints.", func() float64 {
		return float64(n.forwarder.Memory.Held())
	})
	gauge("chervilloom_memory_held_limit_bytes", "Maximum of chervilloom_memory_held_bytes; 0: the VM's memory isn't known.", func() float64 {
		return float64(n.plan.Held)
	})
	gauge("chervilloom_feed_following", "1 while another node keeps this one up to date.", func() float64 {
		if n.follower.isFollowing() {
			return 1
		}
		return 0
	})
}

func (n *Node) countHeads() float64 {
	heads := 0
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) {
		if e.IsServingHead() {
			heads++
		}
	})
	return float64(heads)
}

func (n *Node) countDuties() float64 {
	held := 0
	now := n.Clock.Now()
	for _, m := range n.leases {
		if _, ok := m.Held(now); ok {
			held++
		}
	}
	return float64(held)
}

// serveMetrics serves the registry on the clients' address. If the port is in use, the node
// runs without a metrics server.
func (n *Node) serveMetrics(ctx context.Context, reg *prometheus.Registry) *http.Server {
	s := newServer(promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	s.ReadTimeout = probeTimeout
	host, _, err := net.SplitHostPort(n.Settings.ClientAddr)
	if err != nil || n.MetricsPort == 0 {
		return s
	}
	ln, err := n.listenBounded(ctx, "metrics", net.JoinHostPort(host, strconv.Itoa(n.MetricsPort)), n.probeConns())
	if err != nil {
		n.Log.Warn("metrics server not started", "port", n.MetricsPort, "err", err)
		return s
	}
	go func() {
		if err := s.Serve(ln); err != http.ErrServerClosed {
			n.Log.Warn("metrics server stopped", "err", err)
		}
	}()
	return s
}
