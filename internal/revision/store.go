package revision

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/platform"
)

// Store reads and writes revisions in the platform's table:
//
//	revisions/head            the highest accepted revision, without its document
//	revisions/<number>        each accepted revision
//	revisions/<number>-<hash> a revision that lost its number to another, see Stamp
//
// It has no state and is safe for concurrent use.
type Store struct {
	table      platform.Table
	now        func() time.Time
	newAttempt func() string
	sleep      func(ctx context.Context, d time.Duration) bool
}

// NewStore returns a store over table. now returns the wall-clock time; nil
// means time.Now.
func NewStore(table platform.Table, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{table: table, now: now, newAttempt: uuid.NewString, sleep: clock.Sleep}
}

// Head is the head row as it was read.
type Head struct {
	Stamp   Stamp // zero if no revision has been accepted
	version uint64
	value   []byte
}

// Head reads the head row.
func (s *Store) Head(ctx context.Context) (Head, error) {
	row, err := s.table.Get(ctx, platform.TableRevisions, headKey)
	if err != nil {
		return Head{}, err
	}
	stamp, err := decodeHead(row)
	return Head{Stamp: stamp, version: row.Version, value: row.Value}, err
}

// Get returns the revision with the given number, or ErrNoRevision if the table
// does not contain it.
func (s *Store) Get(ctx context.Context, number uint64) (*Record, error) {
	rec, _, err := s.get(ctx, rowKey(number))
	if err == nil && rec == nil {
		err = fmt.Errorf("%w (%d)", ErrNoRevision, number)
	}
	return rec, err
}

// get returns the record and the version of its row, or nil if the row does not
// exist.
func (s *Store) get(ctx context.Context, key string) (*Record, uint64, error) {
	row, err := s.table.Get(ctx, platform.TableRevisions, key)
	if err != nil || row.Version == 0 {
		return nil, 0, err
	}
	rec, err := decodeRecord(row)
	return rec, row.Version, err
}

// MaxHistoryLength is the maximum number of revisions that History returns.
const MaxHistoryLength = 100

// History returns up to n revisions, newest first. Revisions missing from the
// table are omitted.
func (s *Store) History(ctx context.Context, n int) ([]*Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var out []*Record
	number := head.Stamp.Number
	for range min(n, MaxHistoryLength) {
		if number == 0 {
			break
		}
		rec, _, err := s.get(ctx, rowKey(number))
		if err != nil {
			return nil, err
		}
		if rec != nil {
			out = append(out, rec)
		}
		number--
	}
	return out, nil
}

// Proposal is a document submitted by an author as the next revision.
type Proposal struct {
	Base     uint64 // number of the revision that the document is based on; 0: none
	BaseHash uint64 // hash of the base revision; 0: not checked
	Document []byte
	Author   string
	// ReservedNumber is the number of a revision that was announced but is available
	// neither from a peer nor from the table. The new revision gets a higher
	// number. 0: none.
	ReservedNumber uint64
}

const (
	// maxRounds limits how often an acceptance restarts after it healed the
	// table or fenced off a lost write.
	maxRounds = 5
	// acceptTimeout is the timeout of one acceptance, including reading back
	// the outcome of its write.
	acceptTimeout = 20 * time.Second
	// readBackInterval is the pause between two attempts to read back the
	// outcome of a write.
	readBackInterval = 50 * time.Millisecond
)

// errRestart requests another round of Accept.
var errRestart = errors.New("revision: the table changed during the acceptance, restart it")

// Accept makes the proposal the next revision. known are the highest revisions
// that the caller has, in ascending order. Those that the table lost are
// written back first, so that no number is assigned twice.
//
// Errors: yamlcheck.Problems (invalid document), *Conflict, *Refused (nothing
// changed), *Ambiguous (the outcome is unknown).
func (s *Store) Accept(ctx context.Context, p Proposal, known []*Record) (*Record, error) {
	if _, err := config.Parse("", p.Document); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	at := s.now()
	for range maxRounds {
		rec, err := s.tryAccept(ctx, p, at, known)
		if !errors.Is(err, errRestart) {
			return rec, err
		}
	}
	return nil, &Refused{Reason: "the revision in the table kept changing", Remedy: "nothing changed, try again"}
}

func (s *Store) tryAccept(ctx context.Context, p Proposal, at time.Time, known []*Record) (*Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, platformDownError(err)
	}
	if highest := lastRecord(known); highest != nil && highest.Stamp.Compare(head.Stamp) > 0 {
		if _, err := s.Heal(ctx, known); err != nil {
			return nil, platformDownError(err)
		}
		return nil, errRestart
	}
	if !p.matchesBase(head.Stamp) {
		return nil, s.conflictError(ctx, p, head.Stamp)
	}
	rec := &Record{
		Stamp:    Stamp{Number: max(head.Stamp.Number, p.ReservedNumber) + 1, Time: at.UnixMilli(), Hash: config.Hash(p.Document)},
		Document: p.Document, Author: p.Author,
		Base: head.Stamp.Number, BaseHash: head.Stamp.Hash, Attempt: s.newAttempt(),
	}
	_, err = s.table.Commit(ctx, rec.transaction(head))
	if errors.Is(err, platform.ErrUnavailable) {
		return nil, platformDownError(err)
	}
	// The row decides whatever the answer was: a refusal may follow a first
	// attempt of the same write that took effect and whose answer was lost.
	return s.resolveWrite(ctx, p, head, rec)
}

func (p *Proposal) matchesBase(head Stamp) bool {
	return p.Base == head.Number && (p.BaseHash == 0 || p.BaseHash == head.Hash)
}

// RetainedRevisions is how many revisions the table keeps; accepting one more deletes
// the oldest, since nobody clears a table that grows for years.
const RetainedRevisions = 1000

// transaction returns the transaction that accepts r after head. It checks the
// head row against concurrent authors, and the new row against a table of which
// only the head was restored to an older state.
func (r *Record) transaction(head Head) platform.Txn {
	const table = platform.TableRevisions
	txn := platform.Txn{
		Attempt: r.Attempt,
		Checks: []platform.Check{
			{Table: table, Key: headKey, Version: head.version},
			{Table: table, Key: rowKey(r.Stamp.Number), Version: 0},
		},
		Writes: []platform.Write{
			{Table: table, Key: rowKey(r.Stamp.Number), Value: encodeRecord(r)},
			{Table: table, Key: headKey, Value: encodeHead(r)},
		},
	}
	if r.Stamp.Number > RetainedRevisions {
		oldest := rowKey(r.Stamp.Number - RetainedRevisions)
		txn.Writes = append(txn.Writes, platform.Write{Table: table, Key: oldest, Delete: true})
	}
	return txn
}

// resolveWrite reads back the outcome of the write of rec, until it is known or
// ctx ends.
func (s *Store) resolveWrite(ctx context.Context, p Proposal, before Head, rec *Record) (*Record, error) {
	for {
		done, err := s.readBack(ctx, p, before, rec)
		if err == nil || errors.Is(err, errRestart) || !isOutcomeUnknown(err) {
			return done, err
		}
		if errors.Is(err, errReread) {
			continue
		}
		if !s.sleep(ctx, readBackInterval) {
			return nil, &Ambiguous{Stamp: rec.Stamp, Attempt: rec.Attempt, Cause: err}
		}
	}
}

// isOutcomeUnknown reports whether err leaves open whether the write took
// effect.
func isOutcomeUnknown(err error) bool {
	var conflict *Conflict
	var refused *Refused
	return !errors.As(err, &conflict) && !errors.As(err, &refused)
}

// readBack reads the head before the row. If the head has changed, a write that
// has not taken effect by then never can, and one that did is found in its row.
// In the opposite order, a write that takes effect between the two reads would
// be reported as not accepted.
func (s *Store) readBack(ctx context.Context, p Proposal, before Head, rec *Record) (*Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	row, _, err := s.get(ctx, rowKey(rec.Stamp.Number))
	switch {
	case err != nil:
		return nil, err
	case row != nil && row.Attempt == rec.Attempt:
		return rec, nil
	case row != nil && head.Stamp.Number < row.Stamp.Number:
		return nil, s.raiseHead(ctx, head, row)
	case row == nil && head.version == before.version:
		return nil, s.fenceLateWrite(ctx, head)
	case p.matchesBase(head.Stamp):
		return nil, errRestart
	}
	return nil, s.conflictError(ctx, p, head.Stamp)
}

// errReread means that the table changed between two reads.
var errReread = errors.New("revision: the table changed while it was read")

// fenceLateWrite rewrites the head unchanged. A write whose answer was lost may
// still be in flight; the new version of the head breaks its condition, so that
// it can no longer take effect after its author was told "not accepted". If the
// head changed first, that may have been this write, so its row must be read
// again.
func (s *Store) fenceLateWrite(ctx context.Context, head Head) error {
	txn := platform.Txn{
		Attempt: s.newAttempt(),
		Checks:  []platform.Check{{Table: platform.TableRevisions, Key: headKey, Version: head.version}},
		Writes:  []platform.Write{{Table: platform.TableRevisions, Key: headKey, Value: head.value}},
	}
	if head.version == 0 {
		txn.Writes[0].Value = encodeHead(&Record{})
	}
	res, err := s.table.Commit(ctx, txn)
	switch {
	case err != nil:
		return err
	case res.Committed:
		return errRestart
	}
	return errReread
}

// raiseHead repairs a head that is lower than an accepted row, as after a
// partial restore of the table. It always returns an error: errRestart, also if
// another writer changed the head first, or that of a call to the table.
func (s *Store) raiseHead(ctx context.Context, head Head, row *Record) error {
	top := row
	for {
		next, _, err := s.get(ctx, rowKey(top.Stamp.Number+1))
		if err != nil {
			return err
		}
		if next == nil {
			break
		}
		top = next
	}
	txn := platform.Txn{
		Attempt: s.newAttempt(),
		Checks:  []platform.Check{{Table: platform.TableRevisions, Key: headKey, Version: head.version}},
		Writes:  []platform.Write{{Table: platform.TableRevisions, Key: headKey, Value: encodeHead(top)}},
	}
	if _, err := s.table.Commit(ctx, txn); err != nil {
		return err
	}
	return errRestart
}

// conflictError returns a *Conflict with the changes since the author's base,
// as far as they can be read.
func (s *Store) conflictError(ctx context.Context, p Proposal, current Stamp) error {
	c := &Conflict{Base: p.Base, Current: current}
	now, err := s.parseRevision(ctx, current.Number)
	if err != nil {
		return c // the changes are optional detail
	}
	c.Author = now.author
	base, err := s.parseRevision(ctx, p.Base)
	if err != nil {
		return c
	}
	c.Changes = config.Diff(base.document, now.document)
	return c
}

type authoredDocument struct {
	author   string
	document *config.Document
}

func (s *Store) parseRevision(ctx context.Context, number uint64) (authoredDocument, error) {
	if number == 0 {
		return authoredDocument{document: &config.Document{}}, nil
	}
	rec, err := s.Get(ctx, number)
	if err != nil {
		return authoredDocument{}, err
	}
	d, err := config.Parse("", rec.Document)
	return authoredDocument{author: rec.Author, document: d}, err
}

func lastRecord(records []*Record) *Record {
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}
