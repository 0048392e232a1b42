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
//	revisions/<number>-<hash> a revision that lost its number, see Stamp
//
// It holds no state and is safe for concurrent use.
type Store struct {
	table      platform.Table
	now        func() time.Time
	newAttempt func() string
	pause      func(ctx context.Context, d time.Duration) bool
}

// NewStore returns a store over table. now is the wall clock; nil means
// time.Now.
func NewStore(table platform.Table, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{table: table, now: now, newAttempt: uuid.NewString, pause: clock.Sleep}
}

// Head is the head row as read.
type Head struct {
	Stamp   Stamp // zero: no revision was ever accepted
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

// Get reads the revision with the given number; ErrNoRevision when the table
// does not hold it.
func (s *Store) Get(ctx context.Context, number uint64) (*Record, error) {
	rec, _, err := s.get(ctx, rowKey(number))
	if err == nil && rec == nil {
		err = fmt.Errorf("%w (%d)", ErrNoRevision, number)
	}
	return rec, err
}

// get returns the record and the version of its row; nil when there is no row.
func (s *Store) get(ctx context.Context, key string) (*Record, uint64, error) {
	row, err := s.table.Get(ctx, platform.TableRevisions, key)
	if err != nil || row.Version == 0 {
		return nil, 0, err
	}
	rec, err := decodeRecord(row)
	return rec, row.Version, err
}

// MaxHistory is the most revisions that History returns.
const MaxHistory = 100

// History returns up to n revisions, the newest first. Revisions that the table
// does not hold are left out.
func (s *Store) History(ctx context.Context, n int) ([]*Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	var out []*Record
	number := head.Stamp.Number
	for range min(n, MaxHistory) {
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

// Proposal is a document that an author wants to be in force.
type Proposal struct {
	Base     uint64 // number of the revision that the author started from; 0: none
	BaseHash uint64 // its hash; 0: not checked
	Document []byte
	Author   string
	// Above is a number that must not be given: of a revision that was heard of
	// and can be had neither from a peer nor from the table.
	Above uint64
}

const (
	// maxRounds bounds how often one acceptance starts anew after it healed
	// the table or made sure that a lost write can no longer land.
	maxRounds = 5
	// acceptTimeout ends the search for what became of a write.
	acceptTimeout = 20 * time.Second
	// readBackPause is the pause between two tries to learn what became of a
	// write.
	readBackPause = 50 * time.Millisecond
)

// errAgain asks for another round.
var errAgain = errors.New("revision: the table changed, start anew")

// Accept makes the proposal the next revision. known are the highest revisions
// that the caller has seen, in order; what the table lost of them is written
// again first, so that no number is given twice.
//
// Errors: yamlcheck.Problems (the document is wrong), *Conflict, *Refused
// (nothing changed), *Ambiguous (neither is known).
func (s *Store) Accept(ctx context.Context, p Proposal, known []*Record) (*Record, error) {
	if _, err := config.Parse("", p.Document); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	at := s.now()
	for range maxRounds {
		rec, err := s.round(ctx, p, at, known)
		if !errors.Is(err, errAgain) {
			return rec, err
		}
	}
	return nil, &Refused{Reason: "the revision in the table kept changing", Remedy: "nothing changed, try again"}
}

func (s *Store) round(ctx context.Context, p Proposal, at time.Time, known []*Record) (*Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, platformDown(err)
	}
	if highest := last(known); highest != nil && highest.Stamp.Compare(head.Stamp) > 0 {
		if _, err := s.Heal(ctx, known); err != nil {
			return nil, platformDown(err)
		}
		return nil, errAgain
	}
	if !p.startsFrom(head.Stamp) {
		return nil, s.conflict(ctx, p, head.Stamp)
	}
	rec := &Record{
		Stamp:    Stamp{Number: max(head.Stamp.Number, p.Above) + 1, Time: at.UnixMilli(), Hash: config.Hash(p.Document)},
		Document: p.Document, Author: p.Author,
		Base: head.Stamp.Number, BaseHash: head.Stamp.Hash, Attempt: s.newAttempt(),
	}
	_, err = s.table.Commit(ctx, rec.transaction(head))
	if errors.Is(err, platform.ErrDown) {
		return nil, platformDown(err)
	}
	// Whatever the answer was, the row tells: a refusal may follow an own
	// first write that landed and whose answer was lost on the way.
	return s.settle(ctx, p, head, rec)
}

func (p *Proposal) startsFrom(head Stamp) bool {
	return p.Base == head.Number && (p.BaseHash == 0 || p.BaseHash == head.Hash)
}

// Retained is how many revisions the table keeps; accepting one more deletes
// the oldest, because nobody is there to clear a table that grows for years.
const Retained = 1000

// transaction accepts r after head. Both rows are checked: the head against
// other authors, the new row against a head that was put back alone.
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
	if r.Stamp.Number > Retained {
		oldest := rowKey(r.Stamp.Number - Retained)
		txn.Writes = append(txn.Writes, platform.Write{Table: table, Key: oldest, Delete: true})
	}
	return txn
}

// settle reads back what became of the write of rec.
func (s *Store) settle(ctx context.Context, p Proposal, before Head, rec *Record) (*Record, error) {
	for {
		done, err := s.lookBack(ctx, p, before, rec)
		if err == nil || errors.Is(err, errAgain) || !unreadable(err) {
			return done, err
		}
		if errors.Is(err, errLookAgain) {
			continue
		}
		if !s.pause(ctx, readBackPause) {
			return nil, &Ambiguous{Stamp: rec.Stamp, Attempt: rec.Attempt, Cause: err}
		}
	}
}

// unreadable reports whether err leaves open what became of a write.
func unreadable(err error) bool {
	var conflict *Conflict
	var refused *Refused
	return !errors.As(err, &conflict) && !errors.As(err, &refused)
}

// lookBack reads the head before the row. A write that has not landed when the
// head is found moved cannot land any more, and one that has is then in its
// row; read the other way round, a write that lands between the two reads would
// be told as "not accepted".
func (s *Store) lookBack(ctx context.Context, p Proposal, before Head, rec *Record) (*Record, error) {
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
		return nil, s.raise(ctx, head, row)
	case row == nil && head.version == before.version:
		return nil, s.fenceOff(ctx, head)
	case p.startsFrom(head.Stamp):
		return nil, errAgain
	}
	return nil, s.conflict(ctx, p, head.Stamp)
}

// errLookAgain says that the table moved while it was looked at.
var errLookAgain = errors.New("revision: the table moved while it was read")

// fenceOff rewrites the head as it is. A write whose answer was lost may be on
// its way still; the new version of the head breaks its condition, so that it
// can no longer land after its author was told "not accepted". When the head
// moved first, it may have been that very write: its row has to be read again.
func (s *Store) fenceOff(ctx context.Context, head Head) error {
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
		return errAgain
	}
	return errLookAgain
}

// raise repairs a head that stands below an accepted row: a table that was put
// back in part.
func (s *Store) raise(ctx context.Context, head Head, row *Record) error {
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
	return errAgain
}

// conflict tells what changed since the author's base.
func (s *Store) conflict(ctx context.Context, p Proposal, current Stamp) error {
	c := &Conflict{Base: p.Base, Current: current}
	now, err := s.document(ctx, current.Number)
	if err != nil {
		return c // the changes help, the refusal holds without them
	}
	c.Author = now.author
	base, err := s.document(ctx, p.Base)
	if err != nil {
		return c
	}
	c.Changes = config.Diff(base.document, now.document)
	return c
}

type authored struct {
	author   string
	document *config.Document
}

func (s *Store) document(ctx context.Context, number uint64) (authored, error) {
	if number == 0 {
		return authored{document: &config.Document{}}, nil
	}
	rec, err := s.Get(ctx, number)
	if err != nil {
		return authored{}, err
	}
	d, err := config.Parse("", rec.Document)
	return authored{author: rec.Author, document: d}, err
}

func last(records []*Record) *Record {
	if len(records) == 0 {
		return nil
	}
	return records[len(records)-1]
}
