// Package config defines the configuration document, which operators edit. A
// document is validated and replaced only as a whole.
package config

import (
	"slices"
	"time"
)

// Document is the configuration document, version 1.
type Document struct {
	Version       int            `yaml:"version" json:"version" jsonschema:"required,minimum=1,maximum=1"`
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Models        []Model        `yaml:"models" json:"models"`
	Groups        []GroupSpec    `yaml:"groups" json:"groups"`
	Services      []Service      `yaml:"services,omitempty" json:"services,omitempty"`
	Objective     Objective      `yaml:"objective" json:"objective" jsonschema:"required"`
	// FenceChecked lists the engine VMs that reject orders with an outdated
	// fence; "*" means all. Engines not listed are assumed to ignore fences.
	FenceChecked []string `yaml:"fence_checked,omitempty" json:"fence_checked,omitempty" jsonschema:"uniqueItems=true"`
	Policy       Policy   `yaml:"policy,omitempty" json:"policy,omitempty"`
}

// Organisation is a customer with its keys, share and limits.
type Organisation struct {
	Name      string   `yaml:"name" json:"name" jsonschema:"required,maxLength=64,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$"`
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" jsonschema:"required,minItems=1"`                   // hex SHA-256 of each caller key
	Weight    int      `yaml:"weight" json:"weight" jsonschema:"required,minimum=1,maximum=1000"`               // share of contended capacity, 1..1000
	Rate      float64  `yaml:"rate,omitempty" json:"rate,omitempty" jsonschema:"minimum=0"`                     // model requests per second over all nodes; 0: unlimited
	Lookups   float64  `yaml:"lookups,omitempty" json:"lookups,omitempty" jsonschema:"minimum=0"`               // plain service calls per second over all nodes; 0: unlimited
	Priority  int      `yaml:"priority,omitempty" json:"priority,omitempty" jsonschema:"minimum=0,maximum=100"` // passed on to the engines
}

// Model is a model with the versions and adapters that may be served.
type Model struct {
	Name     string   `yaml:"name" json:"name" jsonschema:"required,maxLength=64,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$"`
	Current  string   `yaml:"current" json:"current" jsonschema:"required"` // version for requests that name none
	Versions []string `yaml:"versions" json:"versions" jsonschema:"required,minItems=1,uniqueItems=true"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" jsonschema:"uniqueItems=true"`
}

// GroupSpec specifies the replicas of one model version.
type GroupSpec struct {
	Name      string   `yaml:"name" json:"name" jsonschema:"required,maxLength=64,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$"`
	Model     string   `yaml:"model" json:"model" jsonschema:"required"`
	ModelVer  string   `yaml:"model_version" json:"model_version" jsonschema:"required"`
	Adapters  []string `yaml:"adapters,omitempty" json:"adapters,omitempty" jsonschema:"uniqueItems=true"`
	VMs       int      `yaml:"vms" json:"vms" jsonschema:"required,minimum=1,maximum=64"` // VMs per replica, 1..64
	Min       int      `yaml:"min" json:"min" jsonschema:"minimum=0"`                     // minimum number of replicas over all zones
	Max       int      `yaml:"max" json:"max" jsonschema:"required,minimum=1,maximum=1000"`
	OneDomain bool     `yaml:"one_domain" json:"one_domain"`                                         // all VMs of a replica must be in one fabric domain
	Zones     []string `yaml:"zones,omitempty" json:"zones,omitempty" jsonschema:"uniqueItems=true"` // allowed availability zones; empty: all
}

// Service is a plain service.
type Service struct {
	Name string `yaml:"name" json:"name" jsonschema:"required,maxLength=64,pattern=^[A-Za-z0-9][A-Za-z0-9._-]*$"`
	// NotRepeatable lists calls that may run at most once, as "METHOD
	// /path/prefix". GET and HEAD may always be repeated; other calls not
	// listed here are assumed to be repeatable.
	NotRepeatable []string `yaml:"not_repeatable,omitempty" json:"not_repeatable,omitempty" jsonschema:"uniqueItems=true"`
	Timeout       Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"` // timeout of a call without a deadline; default 5s
}

// Objective weights the costs that capacity decisions minimise.
type Objective struct {
	DowntimeWeight  float64 `yaml:"downtime_weight" json:"downtime_weight" jsonschema:"minimum=0"`   // cost per second of group downtime
	StrandingWeight float64 `yaml:"stranding_weight" json:"stranding_weight" jsonschema:"minimum=0"` // cost per second of a stranded accelerator
}

// Policy selects and parameterises decisions. Zero values mean the defaults.
type Policy struct {
	Routing      string   `yaml:"routing,omitempty" json:"routing,omitempty" jsonschema:"enum=weighted,enum=random,enum=round-robin,enum=least-reported,enum=two-choices"` // routing policy: weighted (default), random, round-robin, least-reported, two-choices
	RetryBudget  float64  `yaml:"retry_budget,omitempty" json:"retry_budget,omitempty" jsonschema:"minimum=0,maximum=1"`                                                   // retries per first attempt, default 0.1
	ProbeFresh   Duration `yaml:"probe_fresh,omitempty" json:"probe_fresh,omitempty"`                                                                                      // maximum age of the last successful probe of a group that may serve, default 1.5s
	Lease        Duration `yaml:"lease,omitempty" json:"lease,omitempty"`                                                                                                  // duration of duty leases, default 6s
	QueueLimit   int      `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty" jsonschema:"minimum=0,maximum=100000"`                                                // maximum number of queued model requests per node, default 256
	KeyRetention Duration `yaml:"key_retention,omitempty" json:"key_retention,omitempty"`                                                                                  // retention time of idempotency keys, default 24h
}

// Duration is a time.Duration that documents write as "1.5s".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the duration with time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Example returns a duration in the format of documents.
func (Duration) Example() string { return "1.5s" }

// Or returns d, or def when d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Model returns the model with the given name, or nil.
func (d *Document) Model(name string) *Model {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i]
		}
	}
	return nil
}

// Service returns the plain service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// ChecksFence reports whether the engine on the VM rejects orders and KV moves
// that are meant for an earlier placement of the engine.
func (d *Document) ChecksFence(vm string) bool {
	return slices.ContainsFunc(d.FenceChecked, func(s string) bool { return s == "*" || s == vm })
}
