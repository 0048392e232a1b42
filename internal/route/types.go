// Package route picks where a request goes: a serving group, an endpoint of a
// plain service, or a node of the availability zone that has one.
package route

import (
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Kind says what a choice names.
type Kind string

// The kinds of choice.
const (
	KindGroup    Kind = "group"    // Choice.Group is set
	KindEndpoint Kind = "endpoint" // Choice.VM is set
	KindNode     Kind = "node"     // Choice.Node is set
)

// Choice is where one try of a request goes.
type Choice struct {
	Kind   Kind
	Group  *view.Group
	VM     *view.VM
	Node   fleet.VM
	Reason string
}

// Tried names where an earlier try of the same request went.
type Tried struct {
	VM    fleet.VM
	Group fleet.GroupID
	Node  fleet.VM
}

// Result tells how a try ended.
type Result struct {
	OK        bool
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int
	Failed    bool // the endpoint is to blame
}
