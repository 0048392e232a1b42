package console_test

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/console"
	"chervilloom/internal/demo"
)

// waitTimeout bounds waits for a condition.
const waitTimeout = time.Minute

// An operator logs in to one node and changes a value, and the page shows when it
// is in force everywhere. The load balancer sends the next change to another node,
// which must accept the session and build on the first change. Both changes must
// be in force on the third node.
func TestChangesAcrossRealNodes(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	fleet, err := demo.Start(ctx, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	defer func() { is.NoErr(fleet.Close()) }()
	base := func(i int) string { return "http://" + fleet.Nodes[i].Addrs().Operator }

	op := console.LogIn(t, base(0), demo.OperatorToken)
	for i, field := range []string{"organisations[0].weight", "organisations[1].weight"} {
		op.GoTo(base(i))
		path := op.Set("organisations", field, "77")
		waitFor(ctx, t, func() bool { return op.InForce(path) })
	}
	op.GoTo(base(2))
	for _, path := range []string{"", "history", "revisions/3", "rollback/1", "drain", "explain?id=counter-1"} {
		is.Equal(op.Status("/console/"+path), http.StatusOK)
	}
	waitFor(ctx, t, func() bool { return fleet.Nodes[2].Config().Revision == 3 })
	is.Equal(strings.Count(fleet.Nodes[2].Config().Document, "weight: 77"), 2)
}

func waitFor(ctx context.Context, t *testing.T, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatal("the condition was not met in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
