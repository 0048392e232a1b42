// Package operator serves the operators' listener: status, explanations, the
// configuration document, drain, metrics and profiles. The console's forms use
// the same functions; the command line is a client of it.
package operator

import (
	"time"

	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
)

// Status is what one node believes of the fleet, with the age of each belief.
type Status struct {
	Node        string           `json:"node"`
	Zone        string           `json:"zone"`
	Ready       bool             `json:"ready"`
	NotReady    string           `json:"not_ready,omitempty"` // why not
	Revision    uint64           `json:"revision"`
	ViewAge     time.Duration    `json:"view_age"`
	Platform    PlatformStatus   `json:"platform"`
	Nodes       []NodeStatus     `json:"nodes"`
	Groups      []GroupStatus    `json:"groups"`
	Endpoints   []EndpointStatus `json:"endpoints"`
	Duties      []DutyStatus     `json:"duties"`
	Limits      []LimitStatus    `json:"limits,omitempty"`
	FreeEngines int              `json:"free_engines"`
}

// PlatformStatus tells whether the platform answers.
type PlatformStatus struct {
	Reachable bool          `json:"reachable"`
	LastSeen  time.Duration `json:"last_seen"` // ago; -1: never
}

// NodeStatus is one entry node as this node sees it.
type NodeStatus struct {
	Node     string        `json:"node"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"`
	Heard    time.Duration `json:"heard"` // ago
	Revision uint64        `json:"revision"`
	Draining bool          `json:"draining,omitempty"`
}

// GroupStatus is one serving group as this node sees it.
type GroupStatus struct {
	Group      string        `json:"group"`
	Generation uint64        `json:"generation"`
	Phase      string        `json:"phase"`
	Zone       string        `json:"zone"`
	Domain     string        `json:"domain"`
	Model      string        `json:"model"`
	VMs        []string      `json:"vms"` // of a group of another zone: its leader alone
	Whole      bool          `json:"whole"`
	Reason     string        `json:"reason,omitempty"`
	Running    int           `json:"running"`
	Waiting    int           `json:"waiting"`
	LoadAge    time.Duration `json:"load_age"`
}

// EndpointStatus is one endpoint VM as this node sees it.
type EndpointStatus struct {
	VM      string        `json:"vm"`
	Kind    string        `json:"kind"`
	Zone    string        `json:"zone"`
	Domain  string        `json:"domain,omitempty"`
	State   string        `json:"state"` // present, unseen, failing, leaving; elsewhere: another zone watches it
	Group   string        `json:"group,omitempty"`
	SeenAgo time.Duration `json:"seen_ago"` // -1: never
}

// DutyStatus tells who owns a duty.
type DutyStatus struct {
	Duty  string        `json:"duty"`
	Owner string        `json:"owner"` // node that holds the lease as far as this node knows
	Held  bool          `json:"held"`  // by this node
	Fence uint64        `json:"fence"`
	Left  time.Duration `json:"left"` // of the lease, when held by this node
}

// LimitStatus is an organisation's limits over all nodes, and the parts of them
// that this node may use now.
type LimitStatus struct {
	Organisation string  `json:"organisation"`
	Weight       int     `json:"weight"`
	Rate         float64 `json:"rate"`          // model requests a second; 0: no cap
	RateShare    float64 `json:"rate_share"`    // 0..1
	Lookups      float64 `json:"lookups"`       // plain calls a second; 0: no cap
	LookupsShare float64 `json:"lookups_share"` // 0..1
}

// Explanation is what was decided about a subject, by all nodes that answered.
type Explanation struct {
	Subject   string         `json:"subject"`
	Steps     []explain.Step `json:"steps"`               // by time
	Unreached []string       `json:"unreached,omitempty"` // nodes that did not answer: their steps are missing
}

// ConfigView is the configuration in force on a node.
type ConfigView struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Document string `json:"document"` // YAML
}

// ApplyRequest asks to accept a document that was edited from revision Base.
type ApplyRequest struct {
	Base     uint64 `json:"base"`
	Document string `json:"document"`
}

// ApplyState says how an attempt to accept ended.
type ApplyState string

// The ends of an attempt.
const (
	ApplyAccepted ApplyState = "accepted"
	ApplyInvalid  ApplyState = "invalid"
	ApplyConflict ApplyState = "conflict" // another operator was first
	ApplyUnknown  ApplyState = "unknown"  // the platform's answer was lost and could not be read back
	ApplyRefused  ApplyState = "refused"  // nothing was written
)

// ApplyResult is the end of an attempt.
type ApplyResult struct {
	State    ApplyState `json:"state"`
	Revision uint64     `json:"revision,omitempty"` // accepted: the new one; conflict: the present one; unknown: the one it has if accepted
	Attempt  string     `json:"attempt,omitempty"`  // unknown: stands in the history if it was accepted
	Message  string     `json:"message,omitempty"`
	Problems []string   `json:"problems,omitempty"` // invalid: file:line:col: what is wrong; remedy
	Changes  []string   `json:"changes,omitempty"`  // conflict: what changed since Base
}

// Revision is one line of the history.
type Revision struct {
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Hash   string    `json:"hash"`
	// Attempt is the write that accepted the revision; it tells an author whose
	// answer was lost whether the revision is theirs.
	Attempt string `json:"attempt,omitempty"`
}

// DrainRequest asks that an endpoint or a group takes no new request.
type DrainRequest struct {
	VM fleet.VM `json:"vm"`
}
