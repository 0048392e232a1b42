package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
)

// Table is the part of the platform's table that leases need.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// watchRanks is how many nodes, counted in rendezvous order, follow a lease
// row: more would only cost reads.
const watchRanks = 3

var errUnreadable = errors.New("lease: the row is not readable; delete it by hand")

// Manager tries to hold the lease of one duty.
type Manager struct {
	Duty   string
	Self   fleet.Node
	Params Params
	Table  Table
	Clock  clock.Clock
	// Rank returns this node's position in rendezvous order for the duty
	// among the live nodes of the availability zone.
	Rank func() int
	// Acquired is called when the lease has been acquired; nil: nobody.
	Acquired func()
	// Ranks is how many ranks follow the lease; 0: watchRanks.
	Ranks int
	Log   *slog.Logger
	// Poll is the pause between two looks at a lease that another node holds;
	// 0: a sixth of the term.
	Poll time.Duration
	// Era returns the newest era of the table that this node knows of; nil: the table
	// tells none.
	Era func() uint64
	// New: the table has just been set up, so that no lease of before can still run.
	New bool
	// Term returns the term that the configuration in force asks for; nil: the
	// one in Params stays. A row written before the change keeps its own term.
	Term func() time.Duration

	mu   sync.Mutex
	held Grant
	// Touched by Run's goroutine alone.
	seen  Seen
	began bool // the row was read at least once since this process started
	// clock is the table's clock in the answer to the write that was sent at clockSent;
	// 0: not known in this era.
	clock     int64
	clockSent clock.Instant
}

// Held returns the grant when the lease is held now. A holder that was paused
// past its term gets false at its first look.
func (m *Manager) Held(now clock.Instant) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held.Fence == 0 || !now.Before(m.held.Until) {
		return Grant{}, false
	}
	return m.held, true
}

func (m *Manager) setHeld(g Grant) {
	m.mu.Lock()
	acquired := g.Fence != m.held.Fence && g.Fence != 0
	m.held = g
	m.mu.Unlock()
	if acquired && m.Acquired != nil {
		m.Acquired()
	}
}

func (m *Manager) heldRaw() Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// Run follows the lease row until ctx ends, then releases the lease.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.Step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	m.release(context.WithoutCancel(ctx))
	return nil
}

// Step reads the row where needed, decides once, acts, and returns how long to
// pause before the next step.
func (m *Manager) Step(ctx context.Context) time.Duration {
	m.follow()
	rank := m.Rank()
	poll := m.Poll
	if poll == 0 {
		poll = m.Params.Term / 6
	}
	held := m.heldRaw()
	if held.Fence != 0 && m.restored(held) {
		m.putBack(ctx, held)
		return m.Params.Term / 6
	}
	if held.Fence == 0 {
		if rank >= cmp.Or(m.Ranks, watchRanks) {
			return poll
		}
		if !m.read(ctx) {
			return poll
		}
	}
	now := m.Clock.Now()
	d := Decide(m.Params, m.seen, held, m.Self, rank, now)
	switch d.Action {
	case Read:
		m.setHeld(Grant{})
		m.read(ctx)
	case Acquire, Renew:
		m.write(ctx, d)
	}
	if m.heldRaw().Fence != 0 {
		// A holder reads nothing, and a renewal that waits for a slow poll is
		// late when its first write fails.
		return m.Params.Term / 6
	}
	if d.Action == Wait && d.Wake.After(now) {
		return min(poll, d.Wake.Sub(now)) // it is taken as soon as it may be
	}
	return poll
}

// follow takes up a changed term.
func (m *Manager) follow() {
	if m.Term == nil {
		return
	}
	if term := m.Term(); term != m.Params.Term {
		m.Params = DefaultParams(term)
	}
}

// read reports whether the row was read.
func (m *Manager) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Params.Term/3)
	defer cancel()
	row, err := m.Table.Get(ctx, platform.TableLeases, m.Duty)
	if err != nil {
		m.Log.Debug("lease row not read", "duty", m.Duty, "err", err)
		return false
	}
	return m.note(row) == nil
}

// note records what the row holds. First stays when the version is the same. What was
// read before the table came back from an older copy, and arrives late, says nothing.
func (m *Manager) note(row platform.Row) error {
	if m.seen.Known && (row.Era < m.seen.Era || row.Era == m.seen.Era && row.Version == m.seen.Version) {
		return nil
	}
	var r Row
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			m.Log.Error("lease row is not readable; delete the row by hand", "duty", m.Duty, "err", err)
			return fmt.Errorf("%w: %s: %w", errUnreadable, m.Duty, err)
		}
	}
	now := m.Clock.Now()
	if row.Era != m.seen.Era {
		m.clock = 0
	}
	m.seen = Seen{
		Row: r, Version: row.Version, First: now, Known: true, Clock: row.Clock,
		Era: row.Era, EraFirst: m.eraFirst(r, row.Era, now),
	}
	m.began = true
	return nil
}

// eraFirst returns when this node first saw the era in which it has just read the row; 0:
// nobody can hold the lease by a row of before. A node that has just started can't know how
// old the era is, but that a row was written in it.
func (m *Manager) eraFirst(r Row, era uint64, now clock.Instant) clock.Instant {
	switch {
	case m.began && era == m.seen.Era:
		return m.seen.EraFirst
	case era == 0 || !m.began && (m.New || r.Era == era):
		return 0
	}
	return now
}

// restored reports whether the table has come back from an older copy since the lease's
// row was written: the row is an older one then, or gone.
func (m *Manager) restored(held Grant) bool { return m.Era != nil && m.Era() > held.Era }

// putBack writes the holder's row again after the table came back from an older copy.
// Others wait a whole term from when they see the new era, so nobody else can hold the
// lease before this holder's term ends; after that it starts anew like any other.
func (m *Manager) putBack(ctx context.Context, held Grant) {
	if !m.Clock.Now().Before(held.Until) {
		m.setHeld(Grant{})
		return
	}
	if !m.read(ctx) || m.seen.Era <= held.Era {
		return // tried again while the term lasts
	}
	if m.seen.Row.Fence > held.Fence {
		m.setHeld(Grant{})
		return
	}
	m.write(ctx, Decision{
		Action: Renew, Next: Row{Owner: m.Self, Fence: held.Fence, Term: m.Params.Term},
		Reason: "the table came back from an older copy",
	})
	if now := m.heldRaw(); now.Fence == held.Fence && now.Era > held.Era {
		m.Log.Info("lease put back", "duty", m.Duty, "fence", held.Fence, "era_before", held.Era, "era", now.Era)
	}
}

func (m *Manager) write(ctx context.Context, d Decision) {
	// The term starts here: an answer that takes long makes the lease shorter
	// for the holder, never longer than what the others wait out.
	sent := m.Clock.Now()
	d.Next.Era, d.Next.Over = m.seen.Era, m.over(sent, d.Next.Term)
	value, err := json.Marshal(d.Next)
	if err != nil {
		m.Log.Error("lease row cannot be written", "duty", m.Duty, "err", err)
		return
	}
	txn := platform.Txn{
		Attempt: uuid.NewString(),
		Checks:  []platform.Check{{Table: platform.TableLeases, Key: m.Duty, Version: m.seen.Version, Era: m.seen.Era}},
		Writes:  []platform.Write{{Table: platform.TableLeases, Key: m.Duty, Value: value}},
	}
	wctx, cancel := context.WithTimeout(ctx, m.Params.Term/2)
	defer cancel()
	res, err := m.Table.Commit(wctx, txn)
	if err == nil {
		m.clock, m.clockSent = res.Clock, sent
	}
	switch {
	case errors.Is(err, platform.ErrAmbiguous):
		m.resolve(ctx, txn.Attempt, d, sent)
	case errors.Is(err, platform.ErrRestored):
		m.Log.Info("lease row not written; it is read again", "duty", m.Duty, "err", err)
	case err != nil:
		m.Log.Debug("lease row not written", "duty", m.Duty, "err", err)
	case res.Committed:
		m.landed(d, writtenVersion(res, m.seen.Version+1), sent)
	default:
		m.lost(res)
	}
}

// over returns the table's clock when a term that begins at sent is over at the latest, in
// ms; 0: not known. The answer that told the clock was made after its write was sent.
func (m *Manager) over(sent clock.Instant, term time.Duration) int64 {
	if m.clock == 0 {
		return 0
	}
	return m.clock + (sent.Sub(m.clockSent) + term).Milliseconds() + 1
}

// writtenVersion returns the version that the write made. A table that doesn't
// tell counts its rows' versions one by one.
func writtenVersion(res platform.Result, next uint64) uint64 {
	for _, row := range res.Rows {
		if row.Table == platform.TableLeases {
			return row.Version
		}
	}
	return next
}

func (m *Manager) landed(d Decision, version uint64, sent clock.Instant) {
	g := Grant{Duty: m.Duty, Fence: d.Next.Fence, Version: version, Era: m.seen.Era, Since: sent, Until: sent.Add(d.Next.Term)}
	if old := m.heldRaw(); old.Fence == g.Fence {
		g.Since, g.TakenOver = old.Since, old.TakenOver
	} else {
		before := &m.seen
		g.TakenOver = before.Version != 0 && !before.Row.Released && before.Row.Owner != m.Self
		m.Log.Info("lease acquired", "duty", m.Duty, "fence", g.Fence, "reason", d.Reason)
	}
	m.seen.Row, m.seen.Version, m.seen.First, m.seen.Clock = d.Next, version, sent, 0
	m.setHeld(g)
}

// lost handles a failed check: another node wrote the row.
func (m *Manager) lost(res platform.Result) {
	m.setHeld(Grant{})
	for _, row := range res.Rows {
		if row.Table == platform.TableLeases && row.Key == m.Duty {
			_ = m.note(row) // an unreadable row is logged there and read again
		}
	}
}

// resolve settles a write whose answer was lost: the attempt id in the row says
// whether the write landed. The term still counts from before it was sent.
func (m *Manager) resolve(ctx context.Context, attempt string, d Decision, sent clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, m.Params.Term/3)
	defer cancel()
	row, err := m.Table.Get(ctx, platform.TableLeases, m.Duty)
	if err != nil {
		m.seen.Known = false // nothing is known of the row until it is read
		return
	}
	if row.Era != m.seen.Era {
		// The write may have landed on a row that bears the checked version anew. A lease
		// that it was to acquire may be somebody else's, who has yet to put his row back;
		// one that it was to renew is put back while its term lasts.
		_ = m.note(row) // an unreadable row is logged there and read again
		return
	}
	if row.Attempt == attempt {
		m.landed(d, row.Version, sent)
		return
	}
	if row.Version != m.seen.Version {
		m.setHeld(Grant{})
	}
	_ = m.note(row) // an unreadable row is logged there and read again
}

// release gives the lease up so that the next node need not wait the term out.
func (m *Manager) release(ctx context.Context) {
	held, ok := m.Held(m.Clock.Now())
	m.setHeld(Grant{})
	if !ok {
		return
	}
	next := m.seen.Row
	next.Released = true
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.Params.Term/3)
	defer cancel()
	_, err = m.Table.Commit(ctx, platform.Txn{
		Attempt: uuid.NewString(),
		Checks:  []platform.Check{held.Check()},
		Writes:  []platform.Write{{Table: platform.TableLeases, Key: m.Duty, Value: value}},
	})
	if err != nil {
		m.Log.Info("lease not released; the others wait its term out", "duty", m.Duty, "err", err)
	}
}
