package revision_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/platform"
	"chervilloom/internal/revision"
	standinplatform "chervilloom/internal/standin/platform"
)

// newHTTPStore returns a store connected over HTTP to a stand-in for the
// platform.
func newHTTPStore(t *testing.T) (*revision.Store, *standinplatform.Platform) {
	t.Helper()
	p := standinplatform.New(standinplatform.Options{})
	server := httptest.NewServer(p)
	client := platform.NewClient(server.URL)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return revision.NewStore(client, nil), p
}

// Tests that a revision is accepted exactly once over HTTP when answers are
// lost after or before the write took effect, on a platform that remembers
// attempts and on one that does not.
func TestLostAnswersOverHTTP(t *testing.T) {
	for name, faults := range map[string]standinplatform.Faults{
		"answer lost":                        {LoseAnswers: 1},
		"write lost":                         {DropBefore: 1},
		"both":                               {LoseAnswers: 1, DropBefore: 1},
		"answer lost, attempts forgotten":    {LoseAnswers: 1, ForgetAttempts: true},
		"write lost, attempts forgotten":     {DropBefore: 1, ForgetAttempts: true},
		"every answer lost, attempts kept":   {LoseAnswers: standinplatform.Always},
		"some writes lost, attempts are not": {DropBefore: 3},
	} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), newTestContext(t)
			s, p := newHTTPStore(t)
			_, err := s.Accept(ctx, newProposal(0, 1), nil)
			is.NoErr(err)
			p.SetFaults(faults)
			rec, err := s.Accept(ctx, newProposal(1, 2), nil)
			is.NoErr(err)
			is.Equal(rec.Stamp.Number, uint64(2))
			p.SetFaults(standinplatform.Faults{})
			_, err = s.Accept(ctx, newProposal(2, 3), nil)
			is.NoErr(err)
			history, err := s.History(ctx, 10)
			is.NoErr(err)
			is.Equal(len(history), 3)
			is.Equal(history[1].Stamp, rec.Stamp)
		})
	}
}

// Tests that the author gets Refused when the platform refuses all requests.
func TestPlatformDownOverHTTP(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	s, p := newHTTPStore(t)
	p.SetFaults(standinplatform.Faults{Down: standinplatform.DownUnavailable})
	_, err := s.Accept(ctx, newProposal(0, 1), nil)
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
}

// Tests that a writer writes the revisions it knows back into the table, before
// the next one, when the platform was restored from a backup.
func TestRestoredPlatformOverHTTP(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	s, p := newHTTPStore(t)
	one, err := s.Accept(ctx, newProposal(0, 1), nil)
	is.NoErr(err)
	p.Save()
	two, err := s.Accept(ctx, newProposal(1, 2), nil)
	is.NoErr(err)
	is.NoErr(p.Restore())
	head, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Stamp, one.Stamp)
	three, err := s.Accept(ctx, newProposal(2, 3), []*revision.Record{one, two})
	is.NoErr(err)
	is.Equal(three.Stamp.Number, uint64(3))
	again, err := s.Get(ctx, 2)
	is.NoErr(err)
	is.Equal(again.Stamp, two.Stamp)
}
