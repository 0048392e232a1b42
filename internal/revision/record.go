// Package revision accepts configuration documents and replicates them to all
// nodes.
//
// A revision is a document with a number. It is accepted by one conditional
// transaction in the platform's table, confirmed by reading it back, and then
// passed on between nodes. Each node keeps the highest revision that it has
// seen, so a table that was restored to an older state reverts no node: the
// nodes write the missing revisions back into it.
package revision

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/platform"
)

// Stamp identifies a revision and orders all revisions. Two revisions have the
// same number only if the table lost the first and the second was accepted by
// nodes that had never seen it. Then the one accepted later wins, because it is
// the operators' most recent decision; the hash decides between equal times.
// The order is total, so all nodes converge on the same revision regardless of
// the order of messages.
type Stamp struct {
	Number uint64 `cbor:"1,keyasint"`
	Time   int64  `cbor:"2,keyasint"` // time of acceptance by the accepting node's clock, in milliseconds since 1970
	Hash   uint64 `cbor:"3,keyasint"` // xxHash64 of the document's bytes
}

// Compare returns -1, 0 or +1 when a is lower than, equal to or higher than b.
func (a Stamp) Compare(b Stamp) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Time, b.Time), cmp.Compare(a.Hash, b.Hash))
}

// String returns "number/hash".
func (a Stamp) String() string { return fmt.Sprintf("%d/%016x", a.Number, a.Hash) }

// Record is an accepted revision.
type Record struct {
	Stamp    Stamp  `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"` // unmodified text submitted by the author
	Author   string `cbor:"3,keyasint"`
	Base     uint64 `cbor:"4,keyasint"` // number of the revision that it replaced; 0: none, this is the first
	BaseHash uint64 `cbor:"5,keyasint"` // hash of that revision
	Attempt  string `cbor:"6,keyasint"` // ID of the write that accepted it
}

// Accepted returns the time of acceptance.
func (r *Record) Accepted() time.Time { return time.UnixMilli(r.Stamp.Time).UTC() }

// hashMatches reports whether the document has the hash of the stamp.
func (r *Record) hashMatches() bool { return config.Hash(r.Document) == r.Stamp.Hash }

// headKey is the key of the row with the highest accepted revision.
const headKey = "head"

// numberDigits pads numbers so that rows sort numerically.
const numberDigits = 20

func rowKey(number uint64) string { return fmt.Sprintf("%0*d", numberDigits, number) }

// copyKey is the key of a revision that lost its number to another one.
func copyKey(s Stamp) string { return fmt.Sprintf("%s-%016x", rowKey(s.Number), s.Hash) }

// headRow and recordRow are the JSON form of the rows. Hashes are hexadecimal,
// because JSON parsers commonly round large numbers.
type headRow struct {
	Number uint64    `json:"number"`
	Hash   string    `json:"hash"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Base   uint64    `json:"base"`
}

type recordRow struct {
	headRow
	BaseHash string `json:"base_hash"`
	Attempt  string `json:"attempt"`
	Document string `json:"document"`
}

func formatHash(h uint64) string { return fmt.Sprintf("%016x", h) }

func (r *Record) headRow() headRow {
	return headRow{
		Number: r.Stamp.Number, Hash: formatHash(r.Stamp.Hash),
		Author: r.Author, Time: r.Accepted(), Base: r.Base,
	}
}

func encodeHead(r *Record) []byte { return mustJSON(r.headRow()) }

func encodeRecord(r *Record) []byte {
	return mustJSON(recordRow{
		headRow: r.headRow(), BaseHash: formatHash(r.BaseHash),
		Attempt: r.Attempt, Document: string(r.Document),
	})
}

func mustJSON(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil { // unreachable: rows contain only strings, numbers and times of this century
		panic(err)
	}
	return out
}

func (h *headRow) stamp() (Stamp, error) {
	hash, err := strconv.ParseUint(h.Hash, 16, 64)
	return Stamp{Number: h.Number, Time: h.Time.UnixMilli(), Hash: hash}, err
}

// decodeHead returns the zero stamp if the row does not exist.
func decodeHead(row platform.Row) (Stamp, error) {
	if row.Version == 0 {
		return Stamp{}, nil
	}
	var h headRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Stamp{}, damagedRowError(row, err)
	}
	s, err := h.stamp()
	if err != nil {
		return Stamp{}, damagedRowError(row, err)
	}
	return s, nil
}

func decodeRecord(row platform.Row) (*Record, error) {
	var r recordRow
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, damagedRowError(row, err)
	}
	s, err := r.stamp()
	if err != nil {
		return nil, damagedRowError(row, err)
	}
	base, err := strconv.ParseUint(r.BaseHash, 16, 64)
	if err != nil {
		return nil, damagedRowError(row, err)
	}
	rec := &Record{
		Stamp: s, Document: []byte(r.Document), Author: r.Author,
		Base: r.Base, BaseHash: base, Attempt: r.Attempt,
	}
	if !rec.hashMatches() {
		return nil, damagedRowError(row, fmt.Errorf("the document does not have the hash %s", r.Hash))
	}
	return rec, nil
}

func damagedRowError(row platform.Row, err error) error {
	return fmt.Errorf("row %s/%s is damaged: %w; roll back to a revision that can be read", row.Table, row.Key, err)
}
