// Package fleet defines the data types that the other packages share: VMs,
// availability zones, endpoints, serving groups and their generations. It only
// compares and prints them.
package fleet

import (
	"fmt"
	"slices"
)

// VM is the identifier of a virtual machine in the platform's list. It is stable
// across restarts of the VM; BootID distinguishes them.
type VM string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// FabricDomain names a set of VMs with a shared fast network fabric. A fabric
// domain is part of one availability zone.
type FabricDomain string

// Organisation names a customer.
type Organisation string

// BootID is a random ID of one run of an endpoint's process. A changed boot ID at
// the same address means that the process restarted and lost its memory.
type BootID string

// Incarnation numbers the runs of a node's process; it grows with every start.
type Incarnation uint64

// Node identifies one run of the process of an entry VM.
type Node struct {
	VM          VM          `json:"vm" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// String returns "vm#incarnation".
func (n Node) String() string { return fmt.Sprintf("%s#%d", n.VM, n.Incarnation) }

// GroupID identifies a serving group across all its generations.
type GroupID string

// Generation numbers the member sets of a group. The members are fixed within a
// generation.
type Generation uint64

// Fence is the fencing token of a VM. Each claim or release of the VM increments
// it in the same conditional transaction. An engine that checks fences refuses
// orders with a lower fence than the highest it has seen.
type Fence uint64

// Kind is the type of process that a VM runs.
type Kind string

// The kinds of VM.
const (
	KindEntry   Kind = "entry"   // runs chervilloom serve
	KindEngine  Kind = "engine"  // runs a model engine
	KindService Kind = "service" // runs a plain service
)

// State is the state of a VM in the platform's list. The list lags: it can show
// that a VM is gone, but does not prove that one is present.
type State string

// The states of a VM in the platform's list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Record is one row of the platform's list of VMs.
type Record struct {
	VM           VM               `json:"vm"`
	Kind         Kind             `json:"kind"`
	Addr         string           `json:"addr"`        // ip:port of the HTTP port (engine, service) or of the peer port (entry)
	CallerAddr   string           `json:"caller_addr"` // ip:port of the caller port; entry VMs only
	Service      string           `json:"service"`     // name of the plain service; service VMs only
	Zone         AvailabilityZone `json:"zone"`
	Domain       FabricDomain     `json:"domain"`       // engine VMs only
	Accelerators int              `json:"accelerators"` // engine VMs only
	State        State            `json:"state"`
}

// Target is the model, adapter and version of a request. An empty Adapter means
// the base model; an empty Version means the current version of the
// configuration.
type Target struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"2,keyasint,omitempty"`
	Version string `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns "model[+adapter][@version]", the format of callers' requests.
func (t Target) String() string {
	s := t.Model
	if t.Adapter != "" {
		s += "+" + t.Adapter
	}
	if t.Version != "" {
		s += "@" + t.Version
	}
	return s
}

// Member is one VM of a generation of a group. The member with rank 0 receives
// the requests.
type Member struct {
	VM    VM     `json:"vm"`
	Boot  BootID `json:"boot"`
	Addr  string `json:"addr"`
	Rank  int    `json:"rank"`
	Fence Fence  `json:"fence"` // the VM's fence after the claim for this generation
}

// Phase is the lifecycle phase of a group, as stored in its table row.
type Phase string

// The phases of a group.
const (
	PhaseForming   Phase = "forming"   // VMs claimed, orders being sent; not every member has reported the generation
	PhaseServing   Phase = "serving"   // every member has reported the generation at least once
	PhaseDraining  Phase = "draining"  // receives no new request, finishes those in progress
	PhaseDissolved Phase = "dissolved" // the VMs are released
)

// Group is the table row of a serving group.
type Group struct {
	ID         GroupID          `json:"id"`
	Spec       string           `json:"spec"` // name of the configuration's group entry
	Generation Generation       `json:"generation"`
	Phase      Phase            `json:"phase"`
	Zone       AvailabilityZone `json:"zone"`
	Domain     FabricDomain     `json:"domain"`
	Model      string           `json:"model"`
	Version    string           `json:"version"`
	Adapters   []string         `json:"adapters,omitempty"`
	Members    []Member         `json:"members"` // in rank order
	Reason     string           `json:"reason"`  // why the generation was created
}

// Carries reports whether the group has the model, version and adapter of t.
// current replaces an empty t.Version.
func (g *Group) Carries(t Target, current string) bool {
	want := t.Version
	if want == "" {
		want = current
	}
	if g.Model != t.Model || g.Version != want {
		return false
	}
	return t.Adapter == "" || slices.Contains(g.Adapters, t.Adapter)
}

// EngineState is the state that an engine VM reports when it is probed.
type EngineState struct {
	VM         VM         `json:"vm"`
	Boot       BootID     `json:"boot"`
	Fence      Fence      `json:"fence"` // highest fence seen in an order
	Group      GroupID    `json:"group"` // empty if the VM is in no group
	Generation Generation `json:"generation"`
	Rank       int        `json:"rank"`
	Model      string     `json:"model"`
	Version    string     `json:"version"`
	Adapters   []string   `json:"adapters,omitempty"`
	Loaded     bool       `json:"loaded"`  // weights and adapters are in memory
	Leaving    bool       `json:"leaving"` // accepts no new request; permanent until the next boot
}

// Load is an endpoint's load report. Engines publish it with a delay.
type Load struct {
	VM              VM      `json:"vm" cbor:"1,keyasint"`
	Boot            BootID  `json:"boot" cbor:"2,keyasint"`
	Sequence        uint64  `json:"sequence" cbor:"3,keyasint"` // grows within a boot
	AgeMillis       int64   `json:"age_millis" cbor:"4,keyasint"`
	Running         int     `json:"running" cbor:"5,keyasint"`
	Waiting         int     `json:"waiting" cbor:"6,keyasint"`
	CacheUsed       float64 `json:"cache_used" cbor:"7,keyasint"` // share of the KV cache memory in use, 0..1
	TokensPerSecond float64 `json:"tokens_per_second" cbor:"8,keyasint"`
	Slots           int     `json:"slots" cbor:"9,keyasint"` // requests that can run concurrently without queueing
}
