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

// RowState is what a key's row tells.
type RowState uint8

// The states of a row.
const (
	RowClaimed    RowState = iota + 1 // the holder may have dispatched it
	RowRan                            // it ran; the answer is in the row when it was small
	RowUnresolved                     // it was dispatched, and whether it ran cannot be told
	RowReleased                       // it did not run: the key is free
)

// keyRow is the value of a row of the keys table.
type keyRow struct {
	State   RowState    `cbor:"1,keyasint"`
	Holder  fleet.Node  `cbor:"2,keyasint"`
	Body    Hash        `cbor:"3,keyasint"`
	Expires int64       `cbor:"4,keyasint"` // Unix milliseconds, wall clock
	Answer  *keptAnswer `cbor:"5,keyasint,omitempty"`
}

// keptAnswer is a whole first answer.
type keptAnswer struct {
	Head   answer.Head    `cbor:"1,keyasint"`
	Frames []answer.Frame `cbor:"2,keyasint"`
	End    answer.End     `cbor:"3,keyasint"`
}

func (r *keyRow) encode() []byte {
	b, err := cbor.Marshal(r)
	if err != nil { // every field is a plain value
		panic(err)
	}
	return b
}

func decodeRow(b []byte) (keyRow, error) {
	var r keyRow
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("once: row of the keys table cannot be read, check that all nodes run the same release: %w", err)
	}
	return r, nil
}

// facts tells what a claim needs to know of a row. A row is free only skew
// after its expiry, so that a holder whose clock is behind still remembers it.
func facts(row platform.Row, now time.Time, skew time.Duration) (RowFacts, error) {
	if row.Version == 0 {
		return RowFacts{}, nil
	}
	r, err := decodeRow(row.Value)
	if err != nil {
		return RowFacts{}, err
	}
	f := RowFacts{Version: row.Version, Holder: r.Holder, State: r.State, Body: r.Body, Answer: r.Answer}
	f.Expired = r.expired(now, skew)
	return f, nil
}

func (r *keyRow) expired(now time.Time, skew time.Duration) bool {
	return now.Add(-skew).UnixMilli() > r.Expires
}

// rowKey returns the key of the row: "<organisation>/<hash of the caller's key>".
func rowKey(org fleet.Organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return string(org) + "/" + hex.EncodeToString(sum[:16])
}

// bodyHash identifies the call: the same key with another method, path or body
// is another call.
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
