// Package platform is a client of the platform's services: the transactional table,
// the object store and the list of VMs. All coordination and all persistent state go
// through them; the system has no store of its own.
package platform

import (
	"context"
	"errors"

	"chervilloom/internal/fleet"
)

// Row is a row of the table. Version increases by one with each write of the row and is
// 0 for a row that doesn't exist. Versions aren't reused within an era: a row that is
// deleted and created again continues with the next version.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// Era is the table's era in which the row was read or written. A table that is
	// restored from an older copy starts a new era and assigns versions again, so
	// versions of different eras aren't comparable. 0 if the table sends no eras.
	Era uint64 `json:"era,omitempty"`
	// ClockMs is the table's monotonic clock at the time of the response, in ms; 0 if the
	// table sends none. Clocks of different eras aren't comparable.
	ClockMs int64 `json:"clock,omitempty"`
	// Attempt is the ID of the transaction that wrote this version. A writer whose
	// response was lost reads it back to find out whether its write was applied.
	Attempt string `json:"attempt"`
}

// Check is a condition of a transaction: the row must have this version, or must not
// exist if it is 0. A transaction with a check from another era than the table's
// current one fails before it is sent.
type Check struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
}

// SameVersion reports whether both are the same version of one row.
func (r Row) SameVersion(other Row) bool { return r.Version == other.Version && r.Era == other.Era }

// Write sets or deletes a row within a transaction.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a conditional transaction over any rows: if all checks pass, all writes are
// applied; otherwise nothing changes.
type Txn struct {
	Attempt string  `json:"attempt"` // unique ID; Commit generates one if empty
	Checks  []Check `json:"checks"`
	Writes  []Write `json:"writes"`
}

// Result is the result of a transaction.
type Result struct {
	Committed bool  `json:"committed"`
	ClockMs   int64 `json:"clock,omitempty"` // the table's monotonic clock at the time of the response, in ms; 0 if it sends none
	Rows      []Row `json:"rows"`            // the rows written if committed, otherwise the current rows of the failed checks
}

// Cursor is a position in the history of a table's changes. Versions are only comparable within
// one era. The zero value is no position.
type Cursor struct {
	Era     uint64
	Version uint64
}

// Changes are the newest versions of the rows of a table that changed after a cursor.
type Changes struct {
	Rows    []Row
	Deleted []Row  // without values; Version is that of the deletion
	Cursor  Cursor // position after these changes
}

// Errors of the platform's client.
var (
	// ErrUnavailable means that the platform is unavailable, and that the request certainly had
	// no effect or was a read.
	ErrUnavailable = errors.New("platform: not reachable; what is formed goes on serving, try again later")
	// ErrAmbiguous means that a write may or may not have been applied and that reading
	// back didn't resolve it.
	ErrAmbiguous = errors.New("platform: the answer to a write was lost; read the rows back before deciding")
	// ErrRestored means that a write was not sent because its checks were read before the
	// table was restored from an older copy.
	ErrRestored = errors.New("platform: the table came back from an older copy; read the rows again before writing")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: no such object")
)

// Table is the transactional table service.
type Table interface {
	// Get returns the row, with Version 0 if it doesn't exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// List returns the rows whose key starts with prefix, in key order.
	List(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit runs the transaction. The client resolves a lost response by reading back
	// the attempt IDs and returns ErrAmbiguous only if that fails as well.
	Commit(ctx context.Context, txn Txn) (Result, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMList is the platform's list of live and leaving VMs. It is eventually consistent.
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
	// TableQuarantine lists requests that crash endpoints; key: fingerprint.
	TableQuarantine = "quarantine"
)
