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

// defaultMaxRanks is the default number of nodes, in rendezvous order, that watch a lease row;
// more would only add reads.
const defaultMaxRanks = 3

var errMalformedRow = errors.New("lease: row cannot be decoded; delete it by hand")

// Manager acquires and renews the lease of one duty.
type Manager struct {
	Duty   string
	Self   fleet.Node
	Params Params
	Table  Table
	Clock  clock.Clock
	// Rank returns this node's position in rendezvous order for the duty
	// among the live nodes of the availability zone.
	Rank func() int
	// Unfit reports whether this node can't do the duty now although another node can: it releases
	// the lease and doesn't acquire it. nil: it always can.
	Unfit func() bool
	// Acquired is called when the lease has been acquired; nil: no call.
	Acquired func()
	// MaxRanks is the number of ranks that watch the lease; 0: defaultMaxRanks.
	MaxRanks int
	Log      *slog.Logger
	// PollInterval is the interval between two reads of a lease held by another node; 0: a sixth of
	// the term.
	PollInterval time.Duration
	// Contact returns the text that this node's rows have as Contact; nil: none.
	Contact func() string
	// Era returns the newest known era of the table; nil: the table has no eras.
	Era func() uint64
	// TableIsNew reports that the table has just been created, so that no earlier lease can be
	// active.
	TableIsNew bool
	// Term returns the term set by the configuration in force; nil: the term in Params. A
	// row written before a change keeps its own term.
	Term func() time.Duration

	mu      sync.Mutex
	current Grant
	// Used by Run's goroutine only.
	seen    ObservedRow
	rowRead bool // the row has been read since this process started
	// tableClock is the table's clock in the answer to the write that was sent at
	// tableClockSentAt; 0: unknown in this era.
	tableClock       int64
	tableClockSentAt clock.Instant
}

// Held returns the grant if the lease is held at now. It returns false after the end of the
// term, also to a holder that was suspended.
func (m *Manager) Held(now clock.Instant) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Fence == 0 || !now.Before(m.current.Until) {
		return Grant{}, false
	}
	return m.current, true
}

// setGrant replaces the grant and calls Acquired for a new fence.
func (m *Manager) setGrant(g Grant) {
	m.mu.Lock()
	acquired := g.Fence != m.current.Fence && g.Fence != 0
	m.current = g
	m.mu.Unlock()
	if acquired && m.Acquired != nil {
		m.Acquired()
	}
}

// grant returns the grant even if its term has ended.
func (m *Manager) grant() Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// Run maintains the lease until ctx ends, then releases it.
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

// Step reads the row if needed, makes one decision, carries it out, and returns the time
// until the next step.
func (m *Manager) Step(ctx context.Context) time.Duration {
	m.updateTerm()
	rank := m.Rank()
	poll := m.PollInterval
	if poll == 0 {
		poll = m.Params.Term / 6
	}
	held := m.grant()
	if m.Unfit != nil && m.Unfit() {
		if held.Fence != 0 {
			m.Log.Info("lease given up: another node can do the duty", "duty", m.Duty, "fence", held.Fence)
			m.release(ctx)
		}
		return poll
	}
	if held.Fence != 0 && m.isRestored(held) {
		m.rewriteRow(ctx, held)
		return m.Params.Term / 6
	}
	if held.Fence == 0 {
		if rank >= cmp.Or(m.MaxRanks, defaultMaxRanks) {
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
		m.setGrant(Grant{})
		m.read(ctx)
	case Acquire, Renew:
		m.write(ctx, d)
	}
	if m.grant().Fence != 0 {
		// A holder makes no reads, and at a long polling interval a renewal would be too
		// late if its first write fails.
		return m.Params.Term / 6
	}
	if d.Action == Wait && d.Wake.After(now) {
		return min(poll, d.Wake.Sub(now)) // acquired as soon as permitted
	}
	return poll
}

// updateTerm applies a changed term.
func (m *Manager) updateTerm() {
	if m.Term == nil {
		return
	}
	if term := m.Term(); term != m.Params.Term {
		m.Params = DefaultParams(term)
	}
}

// read reads the row and reports whether it succeeded.
func (m *Manager) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, m.Params.Term/3)
	defer cancel()
	row, err := m.Table.Get(ctx, platform.TableLeases, m.Duty)
	if err != nil {
		m.Log.Debug("lease row not read", "duty", m.Duty, "err", err)
		return false
	}
	return m.recordRow(row) == nil
}

// recordRow records the row. FirstSeen is unchanged if the version is the same. A row from an
// earlier era, which arrives late after a table restore, is ignored.
func (m *Manager) recordRow(row platform.Row) error {
	if m.seen.Known && (row.Era < m.seen.Era || row.Era == m.seen.Era && row.Version == m.seen.Version) {
		return nil
	}
	var r Row
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			m.Log.Error("lease row cannot be decoded; delete the row by hand", "duty", m.Duty, "err", err)
			return fmt.Errorf("%w: %s: %w", errMalformedRow, m.Duty, err)
		}
	}
	now := m.Clock.Now()
	if row.Era != m.seen.Era {
		m.tableClock = 0
	}
	m.seen = ObservedRow{
		Row: r, Version: row.Version, FirstSeen: now, Known: true, TableClock: row.ClockMs,
		Era: row.Era, EraFirstSeen: m.eraFirstSeen(r, row.Era, now),
	}
	m.rowRead = true
	return nil
}

// eraFirstSeen returns when this node first saw the era in which it has just read the row; 0 if
// no other node can hold the lease by a row from an earlier era. A node that has just
// started does not know the era's start, but a row written in the current era is
// sufficient.
func (m *Manager) eraFirstSeen(r Row, era uint64, now clock.Instant) clock.Instant {
	switch {
	case m.rowRead && era == m.seen.Era:
		return m.seen.EraFirstSeen
	case era == 0 || !m.rowRead && (m.TableIsNew || r.Era == era):
		return 0
	}
	return now
}

// isRestored reports whether the table has been restored from an older copy since the lease
// row was written; the row is then outdated or missing.
func (m *Manager) isRestored(held Grant) bool { return m.Era != nil && m.Era() > held.Era }

// rewriteRow rewrites the holder's row after a table restore. Other nodes wait a whole term
// after they detect the new era, so no other node can hold the lease before this holder's
// term ends. After that it competes for the lease like any other node.
func (m *Manager) rewriteRow(ctx context.Context, held Grant) {
	if !m.Clock.Now().Before(held.Until) {
		m.setGrant(Grant{})
		return
	}
	if !m.read(ctx) || m.seen.Era <= held.Era {
		return // retried until the term ends
	}
	if m.seen.Row.Fence > held.Fence {
		m.setGrant(Grant{})
		return
	}
	m.write(ctx, Decision{
		Action: Renew, Next: Row{Owner: m.Self, Fence: held.Fence, Term: m.Params.Term},
		Reason: "the table was restored from an older copy",
	})
	if now := m.grant(); now.Fence == held.Fence && now.Era > held.Era {
		m.Log.Info("lease row rewritten after a table restore", "duty", m.Duty, "fence", held.Fence, "era_before", held.Era, "era", now.Era)
	}
}

// write commits the decision's row on the condition that the version read last is current.
func (m *Manager) write(ctx context.Context, d Decision) {
	// The term starts here: a slow answer makes the lease shorter for the holder, never
	// longer than the wait of other nodes.
	sent := m.Clock.Now()
	d.Next.Era, d.Next.TermEnd = m.seen.Era, m.termEnd(sent, d.Next.Term)
	if m.Contact != nil {
		d.Next.Contact = m.Contact()
	}
	value, err := json.Marshal(d.Next)
	if err != nil {
		m.Log.Error("lease row cannot be encoded", "duty", m.Duty, "err", err)
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
		m.tableClock, m.tableClockSentAt = res.ClockMs, sent
	}
	switch {
	case errors.Is(err, platform.ErrAmbiguous):
		m.resolveAmbiguous(ctx, txn.Attempt, d, sent)
	case errors.Is(err, platform.ErrRestored):
		m.Log.Info("lease row not written because the table was restored; reading it again", "duty", m.Duty, "err", err)
	case err != nil:
		m.Log.Debug("lease row not written", "duty", m.Duty, "err", err)
	case res.Committed:
		m.recordWrite(d, writtenVersion(res, m.seen.Version+1), sent)
	default:
		m.recordConflict(res)
	}
}

// termEnd returns the time on the table's clock, in ms, at which a term that begins at sent
// has ended at the latest; 0: unknown. The answer with the clock was created after its
// write was sent.
func (m *Manager) termEnd(sent clock.Instant, term time.Duration) int64 {
	if m.tableClock == 0 {
		return 0
	}
	return m.tableClock + (sent.Sub(m.tableClockSentAt) + term).Milliseconds() + 1
}

// writtenVersion returns the version created by the write. A table that does not report it
// increments row versions by one.
func writtenVersion(res platform.Result, next uint64) uint64 {
	for _, row := range res.Rows {
		if row.Table == platform.TableLeases {
			return row.Version
		}
	}
	return next
}

// recordWrite records a successful write as this node's grant.
func (m *Manager) recordWrite(d Decision, version uint64, sent clock.Instant) {
	g := Grant{Duty: m.Duty, Fence: d.Next.Fence, Version: version, Era: m.seen.Era, Since: sent, Until: sent.Add(d.Next.Term)}
	if old := m.grant(); old.Fence == g.Fence {
		g.Since, g.TakenOver = old.Since, old.TakenOver
	} else {
		before := &m.seen
		g.TakenOver = before.Version != 0 && !before.Row.Released && before.Row.Owner != m.Self
		m.Log.Info("lease acquired", "duty", m.Duty, "fence", g.Fence, "reason", d.Reason)
	}
	m.seen.Row, m.seen.Version, m.seen.FirstSeen, m.seen.TableClock = d.Next, version, sent, 0
	m.setGrant(g)
}

// recordConflict handles a failed check: another node has written the row.
func (m *Manager) recordConflict(res platform.Result) {
	m.setGrant(Grant{})
	for _, row := range res.Rows {
		if row.Table == platform.TableLeases && row.Key == m.Duty {
			_ = m.recordRow(row) // an unreadable row is logged by recordRow and read again
		}
	}
}

// resolveAmbiguous determines the result of a write without an answer by the attempt id in
// the row. The term is still counted from before the write was sent.
func (m *Manager) resolveAmbiguous(ctx context.Context, attempt string, d Decision, sent clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, m.Params.Term/3)
	defer cancel()
	row, err := m.Table.Get(ctx, platform.TableLeases, m.Duty)
	if err != nil {
		m.seen.Known = false // unknown until the row is read
		return
	}
	if row.Era != m.seen.Era {
		// The write may have been applied to a row with a reissued version. A lease that it
		// was to acquire may belong to a node that has yet to rewrite its row; one that it
		// was to renew is rewritten while its term lasts.
		_ = m.recordRow(row) // an unreadable row is logged by recordRow and read again
		return
	}
	if row.Attempt == attempt {
		m.recordWrite(d, row.Version, sent)
		return
	}
	if row.Version != m.seen.Version {
		m.setGrant(Grant{})
	}
	_ = m.recordRow(row) // an unreadable row is logged by recordRow and read again
}

// release releases the lease, so that the next node does not have to wait for the end of
// the term.
func (m *Manager) release(ctx context.Context) {
	held, ok := m.Held(m.Clock.Now())
	m.setGrant(Grant{})
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
		m.Log.Info("lease not released; other nodes wait for the end of its term", "duty", m.Duty, "err", err)
	}
}
