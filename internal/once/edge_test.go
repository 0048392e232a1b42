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

// hasty repeats the call the moment its answer ends.
type hasty struct {
	got
	repeat func()
}

func (h *hasty) Finish(e answer.End) { h.got.Finish(e); h.repeat() }

func TestRepeatOnReceiptOfTheAnswer(t *testing.T) {
	// A caller repeats the call the moment the first answer ends. The memory
	// must know of the end by then: "still running" would send the caller away.
	is := is.New(t)
	b := newBench(t)
	b.start("a")
	var again *got
	first := &hasty{repeat: func() { again = b.send("a", withKey("k")) }}
	b.net.paths["a"].Serve(context.Background(), &request.Request{Organisation: "org", Method: "POST", Path: "/receipts", Body: []byte("driver 7"), Key: "k"}, first)
	is.Equal(again.body, first.body)
}

func TestRunGoesOnWithoutItsCaller(t *testing.T) {
	// The caller's connection breaks while the call runs. Cutting the run would
	// leave its outcome unknown; it goes on, and the repeat gets its answer.
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	ctx, leave := context.WithCancel(context.Background())
	run := filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
		leave()
		if ctx.Err() != nil {
			w.Finish(answer.End{Error: outcome.Of(ctx.Err())})
			return
		}
		b.endpoint.Serve(ctx, req, w)
	})
	ticket := k.newTicket("org")
	req := &request.Request{Organisation: "org", Method: "POST", Path: "/receipts", Body: []byte("driver 7"), Ticket: ticket}
	k.Filter()(run).Serve(ctx, req, &got{})
	is.Equal(b.send("a", withTicket(ticket)).body, "receipt 1")

	// One that left before the dispatch is not run at all.
	req.Ticket = k.newTicket("org")
	k.Filter()(b.endpoint).Serve(ctx, req, &got{})
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestPausedNodeDoesNotDispatch(t *testing.T) {
	// The node is paused for a day after its claim landed and wakes believing
	// that the row is its own. By then the row has expired and another node may
	// have run the call: this one must not.
	is := is.New(t)
	b := newBench(t)
	b.table.landed = func() { b.clock.Advance(defaultRetention) }
	b.start("a")
	g := b.send("a", withKey("k"))
	is.Equal(b.endpoint.runs.Load(), int64(0))
	is.Equal(g.end.Error.Kind, outcome.DeadlineExceeded)
}

func TestLongAnswerIsNotGivenAgain(t *testing.T) {
	// The first answer is over the bound. The repeat is told that the call ran
	// and that its answer cannot be given again; it does not run.
	is := is.New(t)
	b := newBench(t)
	b.start("a")
	b.endpoint.body = strings.Repeat("x", 65<<10)
	is.True(b.send("a", withKey("k")).end.Whole)
	again := b.send("a", withKey("k"))
	is.Equal(again.outcome(), outcome.Ran)
	is.Equal(again.end.Error.Kind, outcome.AnswerCut)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestTicketsThatAreRefused(t *testing.T) {
	// "not-run" is told only of a ticket that no node of this deployment can
	// have taken; one of another secret may have run before the secret changed.
	b := newBench(t)
	b.maxSlots = 1
	k := b.start("a")
	good := k.newTicket("org")
	old := newSealer([]byte("an older secret of the same deployment")).seal(Ticket{Holder: k.opt.Self, Organisation: "org"})
	expired := k.sealer.seal(Ticket{Holder: k.opt.Self, Organisation: "org", Expires: b.clock.Now()})
	for name, c := range map[string]struct {
		ticket string
		kind   outcome.Kind
		told   outcome.Outcome
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
			is.Equal(g.outcome(), c.told)
		})
	}
	t.Run("memory full", func(t *testing.T) {
		is := is.New(t)
		is.True(b.send("a", withTicket(good)).end.Whole)
		is.Equal(b.send("a", withTicket(k.newTicket("org"))).outcome(), outcome.NotRun)
		is.True(b.send("a", withTicket(good)).end.Whole) // nothing was forgotten to make room
		is.Equal(b.endpoint.runs.Load(), int64(1))
	})
}

func TestIssuedTickets(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	k.opt.Authorise = func(h http.Header) (fleet.Organisation, *outcome.Error) { return "org", nil }
	rec := httptest.NewRecorder()
	k.Tickets().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/tickets?count=2", nil))
	is.Equal(rec.Code, http.StatusCreated)
	is.True(b.send("a", withTicket(rec.Header().Get(TicketHeader))).end.Whole)
	rec = httptest.NewRecorder()
	k.Tickets().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/tickets?count=65", nil))
	is.Equal(rec.Code, http.StatusBadRequest)
	is.Equal(rec.Header().Get(outcome.Header), string(outcome.NotRun))
}

func TestOneConflictDoesNotFailTheOthers(t *testing.T) {
	// Claims share a transaction, which the table refuses whole when one key is
	// taken. The others must go on at once in a transaction of their own.
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	b.table.apply(platform.Txn{Writes: []platform.Write{{Key: "taken"}}})
	ends := map[string]writeEnd{}
	var batch []write
	for _, key := range []string{"x", "taken", "y"} {
		batch = append(batch, write{key: key, done: func(e writeEnd, _ platform.Row) { ends[key] = e }})
	}
	k.writer.commit(context.Background(), batch)
	is.Equal(ends, map[string]writeEnd{"x": writeLanded, "taken": writeRefused, "y": writeLanded})
	is.Equal(b.table.commits.Load(), int64(2))
}

func TestFlushedOutcomesOutliveTheHolder(t *testing.T) {
	// The holder of a key is replaced. It has written the outcome before it
	// stopped, so a repeat elsewhere gets the first answer, not "unknown".
	is := is.New(t)
	b := newBench(t)
	b.limits.Notes = 1e-9 // nothing is written before the flush
	k := b.start("a")
	b.start("b")
	k.writer.pace.AllowN(time.Now(), 1)
	is.True(b.send("a", withKey("k")).end.Whole)
	is.Equal(k.Flush(context.Background()), 0)
	b.net.set("a", nil)
	is.Equal(b.send("b", withKey("k")).body, "receipt 1")
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestLateDeletionSparesANewClaim(t *testing.T) {
	// A sweep gives up on its deletion, which is still on its way. Another
	// sweep deletes the row, a caller claims the key again, and the row stands
	// at the version that the late deletion expects. Landing, it would free the
	// key of a running call for a second run.
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	now := time.Now()
	k.opt.WallNow = func() time.Time { return now }
	claim := platform.Txn{Writes: []platform.Write{{Key: "org/00", Value: (&keyRow{State: RowRan}).encode()}}}
	b.table.apply(claim)
	late := k.deletion(b.table.rows[sweepRow], []platform.Row{b.table.rows["org/00"]})
	is.Equal(len(late.Writes), 2)
	is.NoErr(k.sweepTable(context.Background()))
	is.Equal(b.table.rows["org/00"].Version, uint64(0)) // swept
	b.table.apply(claim)
	is.True(!b.table.apply(late).Committed)
	is.Equal(b.table.rows["org/00"].Version, uint64(1))

	// A row that has not expired stays.
	fresh := keyRow{State: RowRan, Expires: now.Add(-k.opt.Skew).UnixMilli()}
	is.Equal(len(k.deletion(platform.Row{}, []platform.Row{{Version: 1, Value: fresh.encode()}}).Writes), 1)
}
