package once

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/platform"
	"chervilloom/internal/request"
)

// repeatingWriter is an answer.Writer that repeats the call as soon as its answer ends.
type repeatingWriter struct {
	receivedAnswer
	repeat func()
}

func (h *repeatingWriter) Finish(e answer.End) { h.receivedAnswer.Finish(e); h.repeat() }

func TestRepeatOnReceiptOfAnswer(t *testing.T) {
	// A caller repeats the call as soon as the first answer ends. The repeat must
	// be answered and not refused as "still running", so the memory must be updated
	// before the caller's answer is finished.
	is := is.New(t)
	b := newTestCluster(t)
	b.start("a")
	var again *receivedAnswer
	first := &repeatingWriter{repeat: func() { again = b.send("a", withKey("k")) }}
	b.net.paths["a"].Serve(context.Background(), &request.Request{Organisation: "org", Method: "POST", Path: "/receipts", Body: []byte("driver 7"), Key: "k"}, first)
	is.Equal(again.body, first.body)
}

func TestRunContinuesAfterCallerDisconnects(t *testing.T) {
	// The caller's connection breaks while the call runs. The run must continue,
	// since cancelling it would leave its outcome unknown, and a repeat must get its
	// answer.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	ctx, disconnect := context.WithCancel(context.Background())
	run := filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		disconnect()
		if ctx.Err() != nil {
			w.Finish(answer.End{Error: outcome.FromError(ctx.Err())})
			return
		}
		b.endpoint.Serve(ctx, req, w)
	})
	ticket := k.newTicket("org")
	req := &request.Request{Organisation: "org", Method: "POST", Path: "/receipts", Body: []byte("driver 7"), Ticket: ticket}
	k.Filter()(run).Serve(ctx, req, &receivedAnswer{})
	is.Equal(b.send("a", withTicket(ticket)).body, "receipt 1")

	// A call whose caller disconnected before the dispatch must not run.
	req.Ticket = k.newTicket("org")
	k.Filter()(b.endpoint).Serve(ctx, req, &receivedAnswer{})
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestPausedNodeDoesNotDispatch(t *testing.T) {
	// The node is paused for a day after its claim was committed. When it resumes,
	// the row has expired and another node may have run the call, so this node must
	// not dispatch it.
	is := is.New(t)
	b := newTestCluster(t)
	b.table.onCommit = func() { b.clock.Advance(defaultRetention) }
	b.start("a")
	g := b.send("a", withKey("k"))
	is.Equal(b.endpoint.runs.Load(), int64(0))
	is.Equal(g.end.Error.Kind, outcome.DeadlineExceeded)
}

func TestLargeAnswerIsNotReplayed(t *testing.T) {
	// The first answer is too large to be stored. The repeat must be refused with
	// outcome "ran" and must not run.
	is := is.New(t)
	b := newTestCluster(t)
	b.start("a")
	b.endpoint.body = strings.Repeat("x", 65<<10)
	is.True(b.send("a", withKey("k")).end.Complete)
	again := b.send("a", withKey("k"))
	is.Equal(again.outcome(), outcome.Ran)
	is.Equal(again.end.Error.Kind, outcome.AnswerCut)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestRefusedTickets(t *testing.T) {
	// "not-run" may be reported only for a ticket that no node of this deployment
	// can have accepted. A ticket issued under another secret may have run before
	// the secret was changed.
	b := newTestCluster(t)
	b.maxEntries = 1
	k := b.start("a")
	good := k.newTicket("org")
	old := newTicketCodec([]byte("an older secret of the same deployment")).encode(Ticket{Holder: k.opt.Self, Organisation: "org"})
	expired := k.ticketCodec.encode(Ticket{Holder: k.opt.Self, Organisation: "org", Expires: b.clock.Now()})
	for name, c := range map[string]struct {
		ticket string
		kind   outcome.Kind
		want   outcome.Outcome
	}{
		"malformed":          {"x", outcome.BadRequest, outcome.NotRun},
		"forged":             {good[:len(good)-4] + "AAAA", outcome.BadRequest, outcome.NotRun},
		"other secret":       {old, outcome.HolderLost, outcome.Unknown},
		"other organisation": {k.newTicket("other"), outcome.Unauthorised, outcome.NotRun},
		"expired":            {expired, outcome.HolderLost, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := b.send("a", withTicket(c.ticket))
			is.Equal(g.end.Error.Kind, c.kind)
			is.Equal(g.outcome(), c.want)
		})
	}
	t.Run("memory full", func(t *testing.T) {
		is := is.New(t)
		is.True(b.send("a", withTicket(good)).end.Complete)
		is.Equal(b.send("a", withTicket(k.newTicket("org"))).outcome(), outcome.NotRun)
		is.True(b.send("a", withTicket(good)).end.Complete) // no entry was evicted to make room
		is.Equal(b.endpoint.runs.Load(), int64(1))
	})
}

func TestIssuedTickets(t *testing.T) {
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	k.opt.Authorise = func(h http.Header) (fleet.Organisation, *outcome.Error) { return "org", nil }
	rec := httptest.NewRecorder()
	k.Tickets().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/tickets?count=2", nil))
	is.Equal(rec.Code, http.StatusCreated)
	is.True(b.send("a", withTicket(rec.Header().Get(TicketHeader))).end.Complete)
	rec = httptest.NewRecorder()
	k.Tickets().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/tickets?count=65", nil))
	is.Equal(rec.Code, http.StatusBadRequest)
	is.Equal(rec.Header().Get(outcome.Header), string(outcome.NotRun))
}

func TestConflictFailsOnlyItsOwnWrite(t *testing.T) {
	// Claims share a transaction, which the table refuses as a whole if one key is
	// taken. The other claims must be retried immediately in another transaction.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	b.table.apply(platform.Txn{Writes: []platform.Write{{Key: "taken"}}})
	ends := map[string]writeResult{}
	var batch []write
	for _, key := range []string{"x", "taken", "y"} {
		batch = append(batch, write{key: key, done: func(e writeResult, _ platform.Row) { ends[key] = e }})
	}
	k.writer.commit(context.Background(), batch)
	is.Equal(ends, map[string]writeResult{"x": writeCommitted, "taken": writeRefused, "y": writeCommitted})
	is.Equal(b.table.commits.Load(), int64(2))
}

func TestFlushedOutcomeSurvivesHolder(t *testing.T) {
	// The holder of a key has flushed its outcomes before it stopped. A repeat on
	// another node must get the first answer, not "unknown".
	is := is.New(t)
	b := newTestCluster(t)
	b.limits.NotesPerSecond = 1e-9 // no outcome is written before Flush
	k := b.start("a")
	b.start("b")
	k.writer.noteLimiter.AllowN(time.Now(), 1)
	is.True(b.send("a", withKey("k")).end.Complete)
	is.Equal(k.Flush(context.Background()), 0)
	b.net.setPath("a", nil)
	is.Equal(b.send("b", withKey("k")).body, "receipt 1")
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestLateDeletionKeepsNewClaim(t *testing.T) {
	// A sweep times out while its deletion is still in flight. Another sweep deletes
	// the row, and a caller claims the key again, so that the row has the version
	// that the late deletion expects. If the late deletion were applied, it would
	// free the key of a running call and allow a second run.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	now := time.Now()
	k.opt.WallNow = func() time.Time { return now }
	claim := platform.Txn{Writes: []platform.Write{{Key: "org/00", Value: (&keyRow{State: RowRan}).encode()}}}
	b.table.apply(claim)
	late := k.newDeletion(b.table.rows[sweepRow], []platform.Row{b.table.rows["org/00"]})
	is.Equal(len(late.Writes), 2)
	is.NoErr(k.sweepTable(context.Background()))
	is.Equal(b.table.rows["org/00"].Version, uint64(0)) // deleted by the sweep
	b.table.apply(claim)
	is.True(!b.table.apply(late).Committed)
	is.Equal(b.table.rows["org/00"].Version, uint64(1))

	// A row that has not expired is not deleted.
	fresh := keyRow{State: RowRan, Expires: now.Add(-k.opt.MaxClockSkew).UnixMilli()}
	is.Equal(len(k.newDeletion(platform.Row{}, []platform.Row{{Version: 1, Value: fresh.encode()}}).Writes), 1)
}
