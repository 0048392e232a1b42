// Package fleet holds the identities and facts that every other package speaks
// of: VMs, availability zones, endpoints, serving groups and their generations.
// It has no behaviour beyond comparing and printing them.
package fleet

import (
	"fmt"
	"slices"
)

// VM is the identifier of a virtual machine in the platform's list. It stays
// the same when the VM restarts; BootID tells the restarts apart.
type VM string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// FabricDomain names a set of VMs that share a fast fabric. A fabric domain
// lies within one availability zone.
type FabricDomain string

// Organisation names a customer.
type Organisation string

// BootID is drawn at random when the endpoint's process starts. Two answers
// with the same address and different boot ids come from different lives: what
// the first life held in memory is gone.
type BootID string

// Incarnation is drawn when a node's process starts and grows with every start.
type Incarnation uint64

// Node identifies one life of one entry VM's process.
type Node struct {
	VM          VM          `json:"vm" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// String returns "vm#incarnation".
func (n Node) String() string { return fmt.Sprintf("%s#%d", n.VM, n.Incarnation) }

// GroupID identifies a serving group for its whole life; generations follow
// each other under one GroupID.
type GroupID string

// Generation counts the member sets of a group. A group's members are fixed
// within a generation.
type Generation uint64

// Fence orders the claims of one VM: a claim or release of a VM raises the
// VM's fence by one in the same conditional transaction. An engine that checks
// fences refuses an order whose fence is lower than the highest it has seen.
type Fence uint64

// Kind says what runs on a VM.
type Kind string

// The kinds of VM.
const (
	KindEntry   Kind = "entry"   // runs chervilloom serve
	KindEngine  Kind = "engine"  // runs a model engine
	KindService Kind = "service" // runs a plain service
)

// State is the state of a VM in the platform's list, which lags: it may take a
// VM away, it never proves that one is present.
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
	Caller       string           `json:"caller_addr"` // ip:port of the caller port; entry VMs only
	Service      string           `json:"service"`     // name of the plain service; service VMs only
	Zone         AvailabilityZone `json:"zone"`
	Domain       FabricDomain     `json:"domain"`       // engine VMs only
	Accelerators int              `json:"accelerators"` // engine VMs only
	State        State            `json:"state"`
}

// Target names what a model request asks for. An empty Adapter means the base
// model; an empty Version means the version that the configuration makes
// current.
type Target struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"2,keyasint,omitempty"`
	Version string `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns "model[+adapter][@version]", the form callers use.
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

// Member is one VM of one generation of a group. Rank 0 takes the requests.
type Member struct {
	VM    VM     `json:"vm"`
	Boot  BootID `json:"boot"`
	Addr  string `json:"addr"`
	Rank  int    `json:"rank"`
	Fence Fence  `json:"fence"` // the VM's fence after the claim for this generation
}

// Phase is the stage in a group's life, as written in its table row.
type Phase string

// The phases of a group.
const (
	PhaseForming   Phase = "forming"   // claimed; orders go out; not all members report the generation yet
	PhaseServing   Phase = "serving"   // every member has reported the generation at least once
	PhaseDraining  Phase = "draining"  // takes no new request, finishes those it has
	PhaseDissolved Phase = "dissolved" // the VMs are free again
)

// Group is a serving group as its table row holds it.
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
	Reason     string           `json:"reason"`  // why the generation was made
}

// Carries reports whether the group holds what t asks for. current is the
// version that an empty t.Version stands for.
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

// EngineState is what an engine VM says of itself when probed.
type EngineState struct {
	VM         VM         `json:"vm"`
	Boot       BootID     `json:"boot"`
	Fence      Fence      `json:"fence"` // highest fence seen in an order
	Group      GroupID    `json:"group"` // empty: in no group
	Generation Generation `json:"generation"`
	Rank       int        `json:"rank"`
	Model      string     `json:"model"`
	Version    string     `json:"version"`
	Adapters   []string   `json:"adapters,omitempty"`
	Loaded     bool       `json:"loaded"`  // weights and adapters are in memory
	Leaving    bool       `json:"leaving"` // takes no new request; sticky for the boot
}

// Load is an endpoint's load report. Engines publish it with a lag.
type Load struct {
	VM              VM      `json:"vm" cbor:"1,keyasint"`
	Boot            BootID  `json:"boot" cbor:"2,keyasint"`
	Sequence        uint64  `json:"sequence" cbor:"3,keyasint"` // grows within a boot
	AgeMillis       int64   `json:"age_millis" cbor:"4,keyasint"`
	Running         int     `json:"running" cbor:"5,keyasint"`
	Waiting         int     `json:"waiting" cbor:"6,keyasint"`
	CacheUsed       float64 `json:"cache_used" cbor:"7,keyasint"` // share of KV memory in use, 0..1
	TokensPerSecond float64 `json:"tokens_per_second" cbor:"8,keyasint"`
	Slots           int     `json:"slots" cbor:"9,keyasint"` // requests that run at once without waiting
}
