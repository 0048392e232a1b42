// Package operator implements the operators' HTTP interface: status,
// explanations, configuration, drain, metrics and profiles. The console uses the
// same functions, and the command line is a client of the interface.
package operator

import (
	"time"

	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
)

// Status is one node's view of the fleet, with the age of each part.
type Status struct {
	Node        string           `json:"node"`
	Zone        string           `json:"zone"`
	Ready       bool             `json:"ready"`
	NotReady    string           `json:"not_ready,omitempty"` // reason if not ready
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

// PlatformStatus is the reachability of the platform.
type PlatformStatus struct {
	Reachable bool          `json:"reachable"`
	LastSeen  time.Duration `json:"last_seen"` // time since the last answer; -1: never
}

// NodeStatus is the state of an entry node in this node's view.
type NodeStatus struct {
	Node     string        `json:"node"`
	Zone     string        `json:"zone"`
	State    string        `json:"state"`
	Heard    time.Duration `json:"heard"` // time since its last message
	Revision uint64        `json:"revision"`
	Draining bool          `json:"draining,omitempty"`
}

// GroupStatus is the state of a serving group in this node's view.
type GroupStatus struct {
	Group      string        `json:"group"`
	Generation uint64        `json:"generation"`
	Phase      string        `json:"phase"`
	Zone       string        `json:"zone"`
	Domain     string        `json:"domain"`
	Model      string        `json:"model"`
	VMs        []string      `json:"vms"` // for a group of another zone, only its leader
	Whole      bool          `json:"whole"`
	Reason     string        `json:"reason,omitempty"`
	Running    int           `json:"running"`
	Waiting    int           `json:"waiting"`
	LoadAge    time.Duration `json:"load_age"`
}

// EndpointStatus is the state of an endpoint VM in this node's view.
type EndpointStatus struct {
	VM      string        `json:"vm"`
	Kind    string        `json:"kind"`
	Zone    string        `json:"zone"`
	Domain  string        `json:"domain,omitempty"`
	State   string        `json:"state"` // present, unseen, failing, leaving; elsewhere: probed by another zone
	Group   string        `json:"group,omitempty"`
	SeenAgo time.Duration `json:"seen_ago"` // -1: never
}

// DutyStatus is the lease state of a duty.
type DutyStatus struct {
	Duty  string        `json:"duty"`
	Owner string        `json:"owner"` // node that holds the lease, if known
	Held  bool          `json:"held"`  // this node holds the lease
	Fence uint64        `json:"fence"`
	Left  time.Duration `json:"left"` // remaining term if this node holds the lease
}

// LimitStatus contains an organisation's limits over all nodes, and the shares of
// them that this node may use now.
type LimitStatus struct {
	Organisation string  `json:"organisation"`
	Weight       int     `json:"weight"`
	Rate         float64 `json:"rate"`          // model requests per second; 0: no limit
	RateShare    float64 `json:"rate_share"`    // 0..1
	Lookups      float64 `json:"lookups"`       // plain calls per second; 0: no limit
	LookupsShare float64 `json:"lookups_share"` // 0..1
}

// Explanation contains the recorded decisions about a subject from all nodes that
// answered.
type Explanation struct {
	Subject   string         `json:"subject"`
	Steps     []explain.Step `json:"steps"`               // sorted by time
	Unreached []string       `json:"unreached,omitempty"` // nodes that did not answer, whose steps are missing
}

// ConfigView is the configuration in force on a node.
type ConfigView struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Document string `json:"document"` // YAML
}

// ApplyRequest contains a document that was edited from revision Base.
type ApplyRequest struct {
	Base     uint64 `json:"base"`
	Document string `json:"document"`
}

// ApplyState is the result of an attempt to accept a document.
type ApplyState string

// The results of an attempt.
const (
	ApplyAccepted ApplyState = "accepted"
	ApplyInvalid  ApplyState = "invalid"
	ApplyConflict ApplyState = "conflict" // another revision was accepted first
	ApplyUnknown  ApplyState = "unknown"  // the platform's answer was lost and could not be read back
	ApplyRefused  ApplyState = "refused"  // nothing was written
)

// ApplyResult describes the result of an attempt to accept a document.
type ApplyResult struct {
	State    ApplyState `json:"state"`
	Revision uint64     `json:"revision,omitempty"` // accepted: the new one; conflict: the one in force; unknown: the number it has if it was accepted
	Attempt  string     `json:"attempt,omitempty"`  // unknown: ID found in the history if it was accepted
	Message  string     `json:"message,omitempty"`
	Problems []string   `json:"problems,omitempty"` // invalid: "file:line:col: problem; remedy"
	Changes  []string   `json:"changes,omitempty"`  // conflict: what changed since Base
}

// Revision is one entry of the history.
type Revision struct {
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Hash   string    `json:"hash"`
	// Attempt is the ID of the write that accepted the revision. An author whose
	// answer was lost can identify the revision by it.
	Attempt string `json:"attempt,omitempty"`
}

// DrainRequest orders an endpoint, and with it its group, to accept no new
// requests.
type DrainRequest struct {
	VM fleet.VM `json:"vm"`
}
