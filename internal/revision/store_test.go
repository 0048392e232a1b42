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

// document returns a valid document that differs by weight.
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

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func propose(base uint64, weight int) revision.Proposal {
	return revision.Proposal{Base: base, Document: document(weight), Author: "asha"}
}

func TestAcceptNumbersRevisions(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	s := revision.NewStore(newTable(), nil)
	for n := range 3 {
		rec, err := s.Accept(ctx, propose(uint64(n), n+1), nil)
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

func TestAcceptRefusesAWrongDocument(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	_, err := revision.NewStore(newTable(), nil).Accept(ctx, propose(0, 0), nil)
	var problems yamlcheck.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Path, "organisations[0].weight")
}

// Two operators start from the same revision. The second to arrive is told
// "not accepted", with what the first one changed, and the table holds the
// first one's document.
func TestTheLoserOfARaceSeesWhatChanged(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	s := revision.NewStore(newTable(), nil)
	_, err := s.Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	_, err = s.Accept(ctx, propose(1, 2), nil)
	is.NoErr(err)
	_, err = s.Accept(ctx, propose(1, 3), nil)
	var c *revision.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Current.Number, uint64(2))
	is.Equal(len(c.Changes), 1)
	is.Equal(c.Changes[0].String(), "organisations[licensing].weight: 1 -> 2")
}

// The caller's write lands and its answer is lost. The caller is told
// "accepted", because reading back finds its own attempt; applying again would
// have told it of a conflict with itself.
func TestALostAnswerOfALandedWriteIsAccepted(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	tab.lose = 1
	rec, err := revision.NewStore(tab, nil).Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(1))
}

// The answer is lost and the write is still under way. The store breaks the
// write's condition before it tries again; so the late write cannot land as a
// second revision after the caller was given a number.
func TestALateWriteCannotLandAfterItsRetry(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	_, err := s.Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	tab.drop = 1
	rec, err := s.Accept(ctx, propose(1, 2), nil)
	is.NoErr(err)
	is.Equal(tab.deliver(), 0)
	head, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Stamp, rec.Stamp)
}

// The answer is lost and the write lands while its author is reading back,
// between any two of the reads. The author is told "accepted" and the table
// holds the revision once: a look at the row before the head took the write for
// one that had not landed, and told of a conflict with itself.
func TestAWriteThatLandsWhileItIsLookedFor(t *testing.T) {
	const mostReads = 8
	for reads := 1; reads <= mostReads; reads++ {
		t.Run(fmt.Sprint(reads), func(t *testing.T) {
			is, ctx := is.New(t), testContext(t)
			tab := newTable()
			s := revision.NewStore(tab, nil)
			_, err := s.Accept(ctx, propose(0, 1), nil)
			is.NoErr(err)
			tab.drop, tab.landAfter = 1, 1+reads // the first read is that of the head, before the write
			rec, err := s.Accept(ctx, propose(1, 2), nil)
			is.NoErr(err)
			tab.deliver()
			head, err := s.Head(ctx)
			is.NoErr(err)
			is.Equal(head.Stamp, rec.Stamp)
			is.Equal(head.Stamp.Number, uint64(2))
		})
	}
}

// The answer is lost and the table goes down. The caller is told neither
// "accepted" nor "not accepted", and where to look.
func TestAnUnsettledWriteIsAmbiguous(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	tab := newTable()
	tab.lose, tab.downAfterLoss = 1, true
	_, err := revision.NewStore(tab, nil).Accept(ctx, propose(0, 1), nil)
	var a *revision.Ambiguous
	is.True(errors.As(err, &a))
	is.True(a.Attempt != "")
}

// The table is put back to revision 1 while the writer knows 3. The next
// revision is 4, and 2 and 3 stand in the table again: no number is given twice.
func TestARestoredTableIsHealedBeforeItTakesMore(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	var known []*revision.Record
	var old = tab.backup()
	for n := range 3 {
		rec, err := s.Accept(ctx, propose(uint64(n), n+1), nil)
		is.NoErr(err)
		known = append(known, rec)
		if n == 0 {
			old = tab.backup()
		}
	}
	tab.restore(old)
	_, err := s.Accept(ctx, propose(1, 9), known)
	var c *revision.Conflict
	is.True(errors.As(err, &c)) // revision 1 is not the newest, whatever the table says
	rec, err := s.Accept(ctx, propose(3, 9), known)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(4))
	history, err := s.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history), 4)
}

// Only the head row is put back; the revisions above it still stand in the
// table. A node that knows nothing is told of the highest of them; it must not
// write over one of them, nor go on failing for ever.
func TestAHeadPutBackAloneIsRaised(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	var head platform.Row
	for n := range 3 {
		_, err := s.Accept(ctx, propose(uint64(n), n+1), nil)
		is.NoErr(err)
		if n == 0 {
			head = tab.backup()["revisions/head"]
		}
	}
	tab.set(func() { tab.rows["revisions/head"] = head })
	_, err := s.Accept(ctx, propose(1, 9), nil)
	var c *revision.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Current.Number, uint64(3))
	rec, err := s.Accept(ctx, propose(3, 9), nil)
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(4))
}

// The table was put back to revision 1, and a node that knew no more accepted
// another revision 2. The node that holds the first 2 heals: the later one
// keeps the number, and the other stays in the table as a copy.
func TestTheLoserOfANumberIsKeptAsACopy(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	now := time.Unix(1_700_000_000, 0)
	s := revision.NewStore(tab, func() time.Time { now = now.Add(time.Second); return now })
	one, err := s.Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	old := tab.backup()
	first, err := s.Accept(ctx, propose(1, 2), nil)
	is.NoErr(err)
	three, err := s.Accept(ctx, propose(2, 3), nil)
	is.NoErr(err)
	tab.restore(old)
	second, err := s.Accept(ctx, propose(1, 4), nil)
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

func TestADamagedRowIsTold(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	_, err := s.Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	for key, row := range tab.backup() {
		row.Value = bytes.Replace(row.Value, []byte("weight"), []byte("wieght"), 1)
		tab.set(func() { tab.rows[key] = row })
	}
	_, err = s.Get(ctx, 1)
	is.True(err != nil)
	is.True(!errors.Is(err, revision.ErrNoRevision))
	_, err = s.Get(ctx, 2)
	is.True(errors.Is(err, revision.ErrNoRevision))
}

func TestTheTableKeepsTheNewestRevisions(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	s := revision.NewStore(tab, nil)
	const surplus = 3
	for n := range revision.Retained + surplus {
		_, err := s.Accept(ctx, propose(uint64(n), n%100+1), nil)
		is.NoErr(err)
	}
	_, err := s.Get(ctx, surplus)
	is.True(errors.Is(err, revision.ErrNoRevision))
	_, err = s.Get(ctx, surplus+1)
	is.NoErr(err)
	is.Equal(len(tab.backup()), revision.Retained+1) // and the head
}

// A comment holds a byte that is no UTF-8. The row is JSON and would come back
// with another byte, so that the accepted revision could be read by no node.
func TestADocumentThatTheRowCannotHoldIsRefused(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	s := revision.NewStore(newTable(), nil)
	p := propose(0, 1)
	p.Document = append(p.Document, "# \xff\n"...)
	_, err := s.Accept(ctx, p, nil)
	var problems yamlcheck.Problems
	is.True(errors.As(err, &problems))
	is.Equal(problems[0].Line, 9)
	p = propose(0, 1)
	p.Document = append(p.Document, "# \u2028 \U0001f600 <&>\r\n"...)
	rec, err := s.Accept(ctx, p, nil)
	is.NoErr(err)
	back, err := s.Get(ctx, rec.Stamp.Number)
	is.NoErr(err)
	is.Equal(back.Document, p.Document)
}
