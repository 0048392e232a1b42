// Package kv moves the KV cache of a group that drains to a new group that
// serves the same model, version and adapters, where that costs less than
// computing the prompts again.
//
// Decide is pure: belief, uses and time in, actions with reasons out. A Mover
// carries the actions out on the node that holds the zone's duty, one at a time.
// All is best effort: no drain and no group waits for it, and what fails is
// computed again by the engine.
package kv

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/fleet"
)

// Key says for which groups a KV cache is good. Attention state depends on the
// weights: state of another version or adapter gives wrong answers without any
// error, so nothing is ever moved between two keys.
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

// Object returns the name of the key's only object. A new export overwrites the
// one before, so that the names are no more than the keys.
func (k Key) Object() string {
	parts := []string{"kv", url.QueryEscape(string(k.Zone)), url.QueryEscape(k.Model), url.QueryEscape(k.Version), k.Adapters}
	return strings.Join(parts, "/")
}

// Costs is what moving and computing KV cache is taken to cost.
type Costs struct {
	PrefillPerTok  time.Duration // to compute a prompt token
	BytesPerToken  float64       // of KV cache
	BytesPerSecond float64       // between a replica and the object store
	PerObject      time.Duration // fixed cost of an export, and of an import
	Within         time.Duration // the longest that an export or import may take
	Useful         time.Duration // how long a prefix is likely to stay cached
}

// DefaultCosts describes a replica of a model of about 70 billion parameters over
// four VMs with a link of a gigabyte a second each. They are assumptions, not
// measurements; a deployment with another model sets its own.
func DefaultCosts() Costs {
	return Costs{
		PrefillPerTok: 400 * time.Microsecond, BytesPerToken: 320 << 10, BytesPerSecond: 4e9,
		PerObject: 20 * time.Millisecond, Within: 2 * time.Second, Useful: 30 * time.Minute,
	}
}
