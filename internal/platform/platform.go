// Package platform speaks to the platform's service: the transactional table,
// the object store and the list of VMs. Everything that must be agreed or kept
// goes through it; the system keeps no store of its own.
package platform

import (
	"context"
	"errors"

	"chervilloom/internal/fleet"
)

// Row is a row of the table. Version grows by one with each write of the row
// and is 0 for a row that does not exist. A version is never used again within an
// era: a row that is deleted and made anew goes on counting where it was.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Era is the table's era in which the row was read or written. A table that comes
	// back from an older copy begins a new era and gives versions out again, so a
	// version means nothing outside its era. 0: the table doesn't tell eras.
	Era uint64 `json:"era,omitempty"`
	// Clock is the table's steady clock when it answered, in ms; 0: it tells none. It
	// means nothing in another era.
	Clock int64 `json:"clock,omitempty"`
	// Attempt is the id of the write that made this version. A writer whose
	// answer was lost reads it back to learn whether its own write landed.
	Attempt string `json:"attempt"`
}

// Check is a condition of a transaction: the row must be at this version (0:
// must not exist). A check that was read in another era than the table's present
// one fails the transaction before it is sent.
type Check struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

// Same reports whether both are the same version of one row.
func (r Row) Same(other Row) bool { return r.Version == other.Version && r.Era == other.Era }

// Write sets or deletes a row within a transaction.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a conditional transaction over any rows: all checks hold and all
// writes land, or nothing changes.
type Txn struct {
	Attempt string  `json:"attempt"` // unique per try; the client fills it in when empty
	Checks  []Check `json:"checks"`
	Writes  []Write `json:"writes"`
}

// Result tells how a transaction ended.
type Result struct {
	Committed bool  `json:"committed"`
	Clock     int64 `json:"clock,omitempty"` // the table's steady clock when it answered, in ms; 0: it tells none
	Rows      []Row `json:"rows"`            // when committed: the rows written; when not: the present rows of the checks that failed
}

// The errors of the platform's client.
var (
	// ErrDown means that the request surely had no effect or was a read.
	ErrDown = errors.New("platform: not reachable; what is formed goes on serving, try again later")
	// ErrAmbiguous means that a write may or may not have landed and that
	// reading back did not settle it.
	ErrAmbiguous = errors.New("platform: the answer to a write was lost; read the rows back before deciding")
	// ErrRestored means that a write was not sent: its checks were read before the
	// table came back from an older copy.
	ErrRestored = errors.New("platform: the table came back from an older copy; read the rows again before writing")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: no such object")
)

// Table is the transactional table service.
type Table interface {
	// Get returns the row, with Version 0 when it does not exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// List returns the rows whose key starts with prefix, in key order.
	List(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit runs the transaction. The client resolves a lost answer by
	// reading back the attempt ids; ErrAmbiguous is returned only when that
	// fails as well.
	Commit(ctx context.Context, txn Txn) (Result, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's list of live and leaving VMs; it lags.
type VMList interface {
	VMs(ctx context.Context) ([]fleet.Record, error)
}

// Names of the tables.
const (
	TableVMs       = "vms"       // claims; key: VM
	TableGroups    = "groups"    // key: GroupID
	TableLeases    = "leases"    // key: duty name
	TableRevisions = "revisions" // key: "head" and the zero-padded revision number
	TableKeys      = "keys"      // idempotency keys
	TableNodes     = "nodes"     // addresses of entry nodes; key: VM
	// TableQuarantine names requests that end endpoints; key: fingerprint.
	TableQuarantine = "quarantine"
)
