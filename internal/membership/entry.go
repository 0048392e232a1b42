package membership

import (
	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Status is the status of a member. At equal versions the greater status wins.
type Status uint8

// The values of Status.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// NodeState returns the status as a view.NodeState.
func (s Status) NodeState() view.NodeState {
	return [...]view.NodeState{view.NodeAlive, view.NodeSuspect, view.NodeDead, view.NodeLeft}[s]
}

// Entry is the state of a member as exchanged between nodes.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	VM          fleet.VM
	Incarnation fleet.Incarnation
	Version     uint64 // raised by the member itself with every change and refutation
	Status      Status
	Zone        fleet.AvailabilityZone
	Addr        string // ip:port of its peer listener
	Revision    uint64 // configuration revision in force on the member
	Draining    bool
	Payload     []byte // small; not interpreted by this package
}

// Node returns the member's VM and incarnation.
func (e *Entry) Node() fleet.Node { return fleet.Node{VM: e.VM, Incarnation: e.Incarnation} }

// isLive reports whether the member is alive or suspect.
func (e *Entry) isLive() bool { return e.Status == Alive || e.Status == Suspect }

// supersedes reports whether a is newer than b, an entry of the same VM. It is
// a total order: a later incarnation wins; within an incarnation Left is final,
// because only the member itself sets it; then the member's own version
// decides, and at equal versions the worse status.
func supersedes(a, b *Entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if (a.Status == Left) != (b.Status == Left) {
		return a.Status == Left
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Status > b.Status
}

// hash returns the entry's contribution to the state digest that two nodes
// compare. Dead and left members contribute 0, because nodes forget them at
// different times.
func (e *Entry) hash() uint64 {
	if !e.isLive() {
		return 0
	}
	var b [17]byte
	putUint64(b[0:], uint64(e.Incarnation))
	putUint64(b[8:], e.Version)
	b[16] = byte(e.Status)
	d := xxhash.New()
	d.WriteString(string(e.VM))
	d.Write(b[:])
	return d.Sum64()
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}
