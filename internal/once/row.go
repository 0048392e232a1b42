package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/request"
)

// RowState is the state of a key in the table.
type RowState uint8

// The states of a row.
const (
	RowClaimed    RowState = iota + 1 // the holder may have dispatched the call
	RowRan                            // the call ran; the row contains the answer if it is small
	RowUnresolved                     // the call was dispatched; whether it ran is unknown
	RowReleased                       // the call did not run; the key is free
)

// keyRow is the value of a row in the keys table.
type keyRow struct {
	State   RowState    `cbor:"1,keyasint"`
	Holder  fleet.Node  `cbor:"2,keyasint"`
	Body    Hash        `cbor:"3,keyasint"`
	Expires int64       `cbor:"4,keyasint"` // Unix milliseconds, wall clock
	Answer  *keptAnswer `cbor:"5,keyasint,omitempty"`
}

// keptAnswer is a complete first answer.
type keptAnswer struct {
	Head   answer.Head    `cbor:"1,keyasint"`
	Frames []answer.Frame `cbor:"2,keyasint"`
	End    answer.End     `cbor:"3,keyasint"`
}

func (r *keyRow) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil { // unreachable: every field can be encoded
		panic(err)
	}
	return b
}

func decodeRow(b []byte) (keyRow, error) {
	var r keyRow
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("once: cannot decode a row of the keys table; check that all nodes run the same release: %w", err)
	}
	return r, nil
}

// rowFacts decodes a row for the evaluation of a claim. The row counts as expired
// only when skew has passed after its expiry, to allow for a holder whose clock
// is behind.
func rowFacts(row platform.Row, now time.Time, skew time.Duration) (RowFacts, error) {
	if row.Version == 0 {
		return RowFacts{}, nil
	}
	r, err := decodeRow(row.Value)
	if err != nil {
		return RowFacts{}, err
	}
	f := RowFacts{Version: row.Version, Holder: r.Holder, State: r.State, Body: r.Body, Answer: r.Answer}
	f.Expired = r.isExpired(now, skew)
	return f, nil
}

func (r *keyRow) isExpired(now time.Time, skew time.Duration) bool {
	return now.Add(-skew).UnixMilli() > r.Expires
}

// rowKey returns the key of the row: "<organisation>/<hash of the caller's key>".
func rowKey(org fleet.Organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return string(org) + "/" + hex.EncodeToString(sum[:16])
}

// bodyHash returns the hash of method, path and body. The same key with another
// hash is a different call.
func bodyHash(req *request.Request) Hash {
	h := sha256.New()
	var n [8]byte
	for _, part := range [...]string{req.Method, req.Path} {
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	h.Write(req.Body)
	return Hash(h.Sum(nil)[:len(Hash{})])
}
