package revision_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
