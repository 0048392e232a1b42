package membership

import (
	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Status is what an entry says of its member. Greater ones win at one version.
type Status uint8

// The states of a member.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// View returns the status as the view names it.
func (s Status) View() view.NodeState {
	return [...]view.NodeState{view.NodeAlive, view.NodeSuspect, view.NodeDead, view.NodeLeft}[s]
}

// Entry is what one node tells another of a member.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	VM          fleet.VM
	Incarnation fleet.Incarnation
	Version     uint64 // raised by the member itself with every change and refutation
	Status      Status
	Zone        fleet.AvailabilityZone
	Addr        string // ip:port of its peer port
	Revision    uint64 // configuration revision in force there
	Draining    bool
	Payload     []byte // small; the membership doesn't read it
}

// Node returns the member's life.
func (e *Entry) Node() fleet.Node { return fleet.Node{VM: e.VM, Incarnation: e.Incarnation} }

// live reports whether the member is to be counted on or at least waited for.
func (e *Entry) live() bool { return e.Status == Alive || e.Status == Suspect }

// supersedes reports whether a is newer than b, an entry of the same VM. It is
// a total order: a later life wins; within a life Left is final, because only
// the member itself says it; then the member's own version decides, and at one
// version the worse status.
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

// digest is the entry's part in the hash that two nodes compare in place of
// their states. Members that are dead or have left count nothing: nodes forget
// them at different times.
func (e *Entry) digest() uint64 {
	if !e.live() {
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
