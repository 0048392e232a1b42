package once

import (
	"context"
	"slices"

	"chervilloom/internal/platform"
)

// writeClaim queues the claim of a key for this incarnation.
func (k *Keeper) writeClaim(id string, body Hash, version uint64) {
	row := k.newRow(RowClaimed, body)
	op := write{key: id, version: version, value: row.encode()}
	op.done = func(result writeResult, current platform.Row) { k.handleClaimResult(id, body, result, current) }
	if !k.writer.enqueueClaim(op) {
		k.mem.applyEvent(id, ClaimFailed{})
	}
}

func (k *Keeper) handleClaimResult(id string, body Hash, result writeResult, current platform.Row) {
	act := k.mem.applyEvent(id, k.claimEvent(id, result, current))
	if act.Verb == WriteClaim {
		k.writeClaim(id, body, act.Version)
	}
}

func (k *Keeper) claimEvent(id string, result writeResult, current platform.Row) Event {
	switch result {
	case writeCommitted:
		return ClaimCommitted{Version: current.Version}
	case writeFailed:
		return ClaimFailed{}
	case writeAmbiguous:
		return ClaimAmbiguous{}
	}
	f, err := rowFacts(current, k.opt.WallNow(), k.opt.MaxClockSkew)
	if err != nil {
		k.opt.Log.Error("cannot decode key row; row left unchanged", "key", id, "err", err)
		return ClaimFailed{}
	}
	return ClaimConflict{Row: f}
}

func (k *Keeper) newRow(s RowState, body Hash) keyRow {
	expires := k.opt.WallNow().Add(k.retention())
	return keyRow{State: s, Holder: k.opt.Self, Body: body, Expires: expires.UnixMilli()}
}

// writeNote queues the write of the outcome or the release after a dispatch.
func (k *Keeper) writeNote(id string, act Action) {
	switch act.Verb {
	case WriteOutcome:
		k.writeOutcome(id)
	case WriteReleased:
		row := k.newRow(RowReleased, Hash{})
		k.writer.enqueueNote(write{key: id, version: act.Version, value: row.encode(), done: func(writeResult, platform.Row) {}})
	}
}

// writeOutcome queues the outcome of a finished entry. The sweep queues it again
// until the row contains it.
func (k *Keeper) writeOutcome(id string) {
	if op, ok := k.newOutcomeWrite(id); ok {
		k.writer.enqueueNote(op)
	}
}

func (k *Keeper) newOutcomeWrite(id string) (op write, ok bool) {
	s, ok := k.mem.unrecordedOutcome(id)
	if !ok {
		return write{}, false
	}
	row := k.newRow(RowUnresolved, s.Body)
	if s.State == Ran {
		row.State = RowRan
		row.Answer = k.answerForRow(&s)
	}
	done := func(result writeResult, current platform.Row) {
		if result == writeCommitted || result == writeRefused && k.hasOutcome(current) {
			k.mem.markRecorded(id)
		}
	}
	return write{key: id, version: s.Version, value: row.encode(), done: done}, true
}

// Flush writes the outcomes that are not in the table yet, until ctx ends, and
// returns the number of outcomes still missing. A node that stops calls it after
// its last request, so that later repeats on other nodes get the first answer
// instead of "unknown".
func (k *Keeper) Flush(ctx context.Context) (left int) {
	var batch []write
	for _, id := range k.mem.sweep(k.opt.Clock.Now()) {
		if op, ok := k.newOutcomeWrite(id); ok {
			batch = append(batch, op)
		}
	}
	for chunk := range slices.Chunk(batch, k.opt.Write.BatchRows) {
		if ctx.Err() != nil {
			break
		}
		k.writer.commit(ctx, chunk)
	}
	return len(k.mem.sweep(k.opt.Clock.Now()))
}

func (k *Keeper) answerForRow(s *memoryEntry) *keptAnswer {
	if s.answer == nil || s.answerBytes > k.opt.MaxRecordedAnswerBytes {
		return nil
	}
	return s.answer
}

// hasOutcome reports whether the row already contains the outcome: an earlier
// write of it was committed although the response was lost.
func (k *Keeper) hasOutcome(current platform.Row) bool {
	f, err := rowFacts(current, k.opt.WallNow(), k.opt.MaxClockSkew)
	return err == nil && f.Holder == k.opt.Self && (f.State == RowRan || f.State == RowUnresolved)
}
