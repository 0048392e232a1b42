package once

import (
	"context"
	"slices"

	"chervilloom/internal/platform"
)

// writeClaim queues the claim of a key for this life.
func (k *Keeper) writeClaim(id string, body Hash, version uint64) {
	row := k.row(RowClaimed, body)
	op := write{key: id, version: version, value: row.encode()}
	op.done = func(end writeEnd, now platform.Row) { k.onClaim(id, body, end, now) }
	if !k.writer.claim(op) {
		k.mem.step(id, ClaimFailed{})
	}
}

func (k *Keeper) onClaim(id string, body Hash, end writeEnd, now platform.Row) {
	act := k.mem.step(id, k.claimEvent(id, end, now))
	if act.Verb == WriteClaim {
		k.writeClaim(id, body, act.Version)
	}
}

func (k *Keeper) claimEvent(id string, end writeEnd, now platform.Row) Event {
	switch end {
	case writeLanded:
		return Claimed{Version: now.Version}
	case writeFailed:
		return ClaimFailed{}
	case writeUnclear:
		return ClaimUnclear{}
	}
	f, err := facts(now, k.opt.WallNow(), k.opt.Skew)
	if err != nil {
		k.opt.Log.Error("the row of a key is left alone", "key", id, "err", err)
		return ClaimFailed{}
	}
	return Taken{Row: f}
}

func (k *Keeper) row(s RowState, body Hash) keyRow {
	expires := k.opt.WallNow().Add(k.retention())
	return keyRow{State: s, Holder: k.opt.Self, Body: body, Expires: expires.UnixMilli()}
}

// writeNote queues what the row shall tell after the dispatch.
func (k *Keeper) writeNote(id string, act Action) {
	switch act.Verb {
	case WriteOutcome:
		k.writeOutcome(id)
	case WriteReleased:
		row := k.row(RowReleased, Hash{})
		k.writer.note(write{key: id, version: act.Version, value: row.encode(), done: func(writeEnd, platform.Row) {}})
	}
}

// writeOutcome queues the outcome of an ended entry. The sweeper offers it
// again until the row tells it.
func (k *Keeper) writeOutcome(id string) {
	if op, ok := k.outcomeWrite(id); ok {
		k.writer.note(op)
	}
}

func (k *Keeper) outcomeWrite(id string) (op write, ok bool) {
	s, ok := k.mem.outcomeOf(id)
	if !ok {
		return write{}, false
	}
	row := k.row(RowUnresolved, s.Body)
	if s.State == Ran {
		row.State = RowRan
		row.Answer = k.recordable(&s)
	}
	done := func(end writeEnd, now platform.Row) {
		if end == writeLanded || end == writeRefused && k.tellsOutcome(now) {
			k.mem.recorded(id)
		}
	}
	return write{key: id, version: s.Version, value: row.encode(), done: done}, true
}

// Flush writes the outcomes that the table does not tell yet, until ctx ends.
// A node that stops calls it after its last request: repeats that come to other
// nodes later then get the first answer instead of "unknown". It returns how
// many outcomes are left.
func (k *Keeper) Flush(ctx context.Context) (left int) {
	var batch []write
	for _, id := range k.mem.sweep(k.opt.Clock.Now()) {
		if op, ok := k.outcomeWrite(id); ok {
			batch = append(batch, op)
		}
	}
	for part := range slices.Chunk(batch, k.opt.Write.Batch) {
		if ctx.Err() != nil {
			break
		}
		k.writer.commit(ctx, part)
	}
	return len(k.mem.sweep(k.opt.Clock.Now()))
}

func (k *Keeper) recordable(s *slot) *keptAnswer {
	if s.answer == nil || s.size > k.opt.MaxRecorded {
		return nil
	}
	return s.answer
}

// tellsOutcome reports whether the row already holds the outcome: an earlier
// write of it landed although its answer was lost.
func (k *Keeper) tellsOutcome(now platform.Row) bool {
	f, err := facts(now, k.opt.WallNow(), k.opt.Skew)
	return err == nil && f.Holder == k.opt.Self && (f.State == RowRan || f.State == RowUnresolved)
}
