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

// wire returns a store over HTTP to a stand-in of the platform.
func wire(t *testing.T) (*revision.Store, *standinplatform.Platform) {
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

// Over HTTP, answers are lost after the write took effect or before it did, by
// a platform that remembers attempts or one that does not. Each author is told
// "accepted" and stands in the line of revisions once.
func TestLostAnswersOverTheWire(t *testing.T) {
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
			is, ctx := is.New(t), testContext(t)
			s, p := wire(t)
			_, err := s.Accept(ctx, propose(0, 1), nil)
			is.NoErr(err)
			p.SetFaults(faults)
			rec, err := s.Accept(ctx, propose(1, 2), nil)
			is.NoErr(err)
			is.Equal(rec.Stamp.Number, uint64(2))
			p.SetFaults(standinplatform.Faults{})
			_, err = s.Accept(ctx, propose(2, 3), nil)
			is.NoErr(err)
			history, err := s.History(ctx, 10)
			is.NoErr(err)
			is.Equal(len(history), 3)
			is.Equal(history[1].Stamp, rec.Stamp)
		})
	}
}

// The platform refuses everything: the author is told "not accepted".
func TestAPlatformThatIsDownOverTheWire(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	s, p := wire(t)
	p.SetFaults(standinplatform.Faults{Down: standinplatform.DownRefused})
	_, err := s.Accept(ctx, propose(0, 1), nil)
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
}

// The platform is put back to its backup by its operators. What the writer
// still knows stands in the table again before the next revision.
func TestARestoredPlatformOverTheWire(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	s, p := wire(t)
	one, err := s.Accept(ctx, propose(0, 1), nil)
	is.NoErr(err)
	p.Save()
	two, err := s.Accept(ctx, propose(1, 2), nil)
	is.NoErr(err)
	is.NoErr(p.Restore())
	head, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Stamp, one.Stamp)
	three, err := s.Accept(ctx, propose(2, 3), []*revision.Record{one, two})
	is.NoErr(err)
	is.Equal(three.Stamp.Number, uint64(3))
	again, err := s.Get(ctx, 2)
	is.NoErr(err)
	is.Equal(again.Stamp, two.Stamp)
}
