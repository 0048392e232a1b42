package revision_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/platform"
	"chervilloom/internal/revision"
	"chervilloom/internal/yamlcheck"
)

// document returns a valid document with the given organisation weight.
func document(weight int) []byte {
	return fmt.Appendf(nil, `version: 1
organisations:
  - name: licensing
    key_hashes: [9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
    weight: %d
models: []
groups: []
objective: {downtime_weight: 1, stranding_weight: 1}
`, weight)
}

func newTestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func newProposal(base uint64, weight int) revision.Proposal {
	return revision.Proposal{Base: base, Document: document(weight), Author: "asha"}
}

func TestAcceptNumbersRevisions(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	s := revision.NewStore(newTable(), nil)
	for n := range 3 {
		rec, err := s.Accept(ctx, newProposal(uint64(n), n+1), nil)
		is.NoErr(err)
		is.Equal(rec.Stamp.Number, uint64(n+1))
	}
	history, err := s.History(ctx, 2)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[0].Stamp.Number, uint64(3))
	is.Equal(history[0].BaseHash, history[1].Stamp.Hash)
	is.Equal(history[0].Author, "asha")
}

func TestAcceptRejectsInvalidDocument(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	_, err := revision.NewStore(newTable(), nil).Accept(ctx, newProposal(0, 0), nil)
	var problems yamlcheck.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Path, "organisations[0].weight")
}

// Tests that the second of two operators with the same base gets a conflict
// that lists the changes of the first, whose document stays in the table.
func TestConflictListsChanges(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	s := revision.NewStore(newTable(), nil)
	_, err := s.Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	_, err = s.Accept(ctx, newProposal(1, 2), nil)
	is.NoErr(err)
	_, err = s.Accept(ctx, newProposal(1, 3), nil)
	var c *revision.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Current.Number, uint64(2))
	is.Equal(len(c.Changes), 1)
	is.Equal(c.Changes[0].String(), "organisations[licensing].weight: 1 -> 2")
}

// Tests that a write which took effect is reported as accepted although its
// answer was lost: reading back finds its attempt. A second write would
// conflict with the first.
func TestCommittedWriteWithLostAnswerIsAccepted(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	tab.loseAnswers = 1
	rec, err := revision.NewStore(tab, nil).Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(1))
}

// Tests that a write in flight whose answer was lost cannot take effect after
// its retry. The store breaks the write's condition before it retries, so that
// it cannot become a second revision after the caller received a number.
func TestLateWriteIsFencedByRetry(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	_, err := s.Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	tab.delayWrites = 1
	rec, err := s.Accept(ctx, newProposal(1, 2), nil)
	is.NoErr(err)
	is.Equal(tab.deliver(), 0)
	head, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Stamp, rec.Stamp)
}

// Tests that a write whose answer was lost is reported as accepted, and is in
// the table once, when it takes effect between any two reads of the read-back.
// When the row was read before the head, such a write was taken for one that
// had not taken effect, and its author got a conflict with their own revision.
func TestWriteCommittedDuringReadBack(t *testing.T) {
	const mostReads = 8
	for reads := 1; reads <= mostReads; reads++ {
		t.Run(fmt.Sprint(reads), func(t *testing.T) {
			is, ctx := is.New(t), newTestContext(t)
			tab := newTable()
			s := revision.NewStore(tab, nil)
			_, err := s.Accept(ctx, newProposal(0, 1), nil)
			is.NoErr(err)
			tab.delayWrites, tab.deliverAfter = 1, 1+reads // the first read is that of the head, before the write
			rec, err := s.Accept(ctx, newProposal(1, 2), nil)
			is.NoErr(err)
			tab.deliver()
			head, err := s.Head(ctx)
			is.NoErr(err)
			is.Equal(head.Stamp, rec.Stamp)
			is.Equal(head.Stamp.Number, uint64(2))
		})
	}
}

// Tests that the outcome is reported as ambiguous, with the attempt to look
// for, when the answer is lost and the table goes down.
func TestUnknownWriteOutcomeIsAmbiguous(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	tab := newTable()
	tab.loseAnswers, tab.downAfterLoss = 1, true
	_, err := revision.NewStore(tab, nil).Accept(ctx, newProposal(0, 1), nil)
	var a *revision.Ambiguous
	is.True(errors.As(err, &a))
	is.True(a.Attempt != "")
}

// Tests that a table restored to revision 1 is healed by a writer that knows
// revision 3 before it accepts another. The next revision is 4 and the table
// contains 2 and 3 again: no number is assigned twice.
func TestRestoredTableIsHealedBeforeAccept(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	var known []*revision.Record
	var old = tab.backup()
	for n := range 3 {
		rec, err := s.Accept(ctx, newProposal(uint64(n), n+1), nil)
		is.NoErr(err)
		known = append(known, rec)
		if n == 0 {
			old = tab.backup()
		}
	}
	tab.restore(old)
	_, err := s.Accept(ctx, newProposal(1, 9), known)
	var c *revision.Conflict
	is.True(errors.As(err, &c)) // revision 1 is not the newest, although the table says so
	rec, err := s.Accept(ctx, newProposal(3, 9), known)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(4))
	history, err := s.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history), 4)
}

// Tests that a head which was restored without the revisions above it is
// raised. A node without revisions gets a conflict that names the highest of
// them. It must neither overwrite one nor fail permanently.
func TestHeadRestoredAloneIsRaised(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	var head platform.Row
	for n := range 3 {
		_, err := s.Accept(ctx, newProposal(uint64(n), n+1), nil)
		is.NoErr(err)
		if n == 0 {
			head = tab.backup()["revisions/head"]
		}
	}
	tab.update(func() { tab.rows["revisions/head"] = head })
	_, err := s.Accept(ctx, newProposal(1, 9), nil)
	var c *revision.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Current.Number, uint64(3))
	rec, err := s.Accept(ctx, newProposal(3, 9), nil)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(4))
}

// Tests healing of a number that was assigned twice: the table was restored to
// revision 1, and a node that knew no more accepted another revision 2. When
// the node with the first revision 2 heals the table, the later one keeps the
// number and the other stays in the table as a copy.
func TestRevisionThatLostItsNumberIsKeptAsCopy(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	now := time.Unix(1_700_000_000, 0)
	s := revision.NewStore(tab, func() time.Time { now = now.Add(time.Second); return now })
	one, err := s.Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	old := tab.backup()
	first, err := s.Accept(ctx, newProposal(1, 2), nil)
	is.NoErr(err)
	three, err := s.Accept(ctx, newProposal(2, 3), nil)
	is.NoErr(err)
	tab.restore(old)
	second, err := s.Accept(ctx, newProposal(1, 4), nil)
	is.NoErr(err)
	wrote, err := s.Heal(ctx, []*revision.Record{one, first, three})
	is.NoErr(err)
	is.True(wrote)
	head, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Stamp, three.Stamp)
	kept, err := s.Get(ctx, 2)
	is.NoErr(err)
	is.Equal(kept.Stamp, second.Stamp)
	rows, err := tab.List(ctx, "revisions", fmt.Sprintf("%020d-%016x", 2, first.Stamp.Hash))
	is.NoErr(err)
	is.Equal(len(rows), 1)
	wrote, err = s.Heal(ctx, []*revision.Record{one, first, three})
	is.NoErr(err)
	is.True(!wrote)
}

func TestDamagedRowIsReported(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	_, err := s.Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	for key, row := range tab.backup() {
		row.Value = bytes.Replace(row.Value, []byte("weight"), []byte("wieght"), 1)
		tab.update(func() { tab.rows[key] = row })
	}
	_, err = s.Get(ctx, 1)
	is.True(err != nil)
	is.True(!errors.Is(err, revision.ErrNoRevision))
	_, err = s.Get(ctx, 2)
	is.True(errors.Is(err, revision.ErrNoRevision))
}

func TestTableKeepsNewestRevisions(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	const surplus = 3
	for n := range revision.RetainedRevisions + surplus {
		_, err := s.Accept(ctx, newProposal(uint64(n), n%100+1), nil)
		is.NoErr(err)
	}
	_, err := s.Get(ctx, surplus)
	is.True(errors.Is(err, revision.ErrNoRevision))
	_, err = s.Get(ctx, surplus+1)
	is.NoErr(err)
	is.Equal(len(tab.backup()), revision.RetainedRevisions+1) // plus the head row
}

// Tests that a document with invalid UTF-8 is rejected. The row is JSON, which
// would replace the invalid byte, so that no node could read the accepted
// revision.
func TestDocumentWithInvalidUTF8IsRejected(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	s := revision.NewStore(newTable(), nil)
	p := newProposal(0, 1)
	p.Document = append(p.Document, "# \xff\n"...)
	_, err := s.Accept(ctx, p, nil)
	var problems yamlcheck.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Line, 9)
	p = newProposal(0, 1)
	p.Document = append(p.Document, "# \u2028 \U0001f600 <&>\r\n"...)
	rec, err := s.Accept(ctx, p, nil)
	is.NoErr(err)
	back, err := s.Get(ctx, rec.Stamp.Number)
	is.NoErr(err)
	is.Equal(back.Document, p.Document)
}
