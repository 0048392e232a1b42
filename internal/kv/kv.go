// Package kv moves the KV cache of a draining group to a new group that serves the same
// model, version and adapters, if that costs less than computing the prompts again.
//
// Decide has no side effects except on its Memory: it computes actions with reasons from
// a snapshot, prefix uses and the time. A Mover executes the actions on the node that
// holds the zone's duty, one at a time. All moves are best effort: no drain and no group
// waits for them, and after a failed move the engine computes the prompts again.
package kv

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/fleet"
)

// Key identifies the groups that can share a KV cache. Attention state depends on the
// weights: state of another version or adapter produces wrong output without an error,
// so a cache is never moved between two keys.
type Key struct {
	Zone     fleet.AvailabilityZone
	Model    string
	Version  string
	Adapters string // sorted, escaped and joined
}

// KeyOf returns the key of a group.
func KeyOf(g *fleet.Group) Key { return keyOf(g.Zone, g.Model, g.Version, g.Adapters) }

func keyOf(zone fleet.AvailabilityZone, model, version string, adapters []string) Key {
	names := make([]string, 0, len(adapters))
	for _, a := range adapters {
		names = append(names, url.QueryEscape(a))
	}
	slices.Sort(names)
	return Key{Zone: zone, Model: model, Version: version, Adapters: strings.Join(slices.Compact(names), "+")}
}

// ObjectName returns the name of the key's object. A new export overwrites the previous one,
// so there is at most one object per key.
func (k Key) ObjectName() string {
	parts := []string{"kv", url.QueryEscape(string(k.Zone)), url.QueryEscape(k.Model), url.QueryEscape(k.Version), k.Adapters}
	return strings.Join(parts, "/")
}

// Costs are the assumed costs of moving and computing KV cache.
type Costs struct {
	PrefillPerToken time.Duration // time to compute a prompt token
	BytesPerToken   float64       // KV cache size of a token
	BytesPerSecond  float64       // throughput between a replica and the object store
	FixedCost       time.Duration // fixed cost of an export, and of an import
	Timeout         time.Duration // timeout of an export or import
	CacheLifetime   time.Duration // how long a prefix is likely to stay cached
}

// DefaultCosts returns the costs of a replica of a model with about 70 billion
// parameters on four VMs, each with a network link of 1 GB/s. Deployments with another
// model set their own.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerToken: 400 * time.Microsecond, BytesPerToken: 320 << 10, BytesPerSecond: 4e9,
		FixedCost: 20 * time.Millisecond, Timeout: 2 * time.Second, CacheLifetime: 30 * time.Minute,
	}
}
