package quarantine

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/platform"
)

// makeSuspect crashes two endpoints under two client attempts of a request.
func (tc *testCluster) makeSuspect(fp Fingerprint) {
	for i := range minSuspectCrashes {
		tc.crashEndpoint(i%len(tc.nodes), string(fp)+string(rune('a'+i)), fp, uint32(i))
	}
}

// Guards against simultaneous client attempts that each crash an endpoint before the first crash
// is known.
func TestSuspectRunsOneAtATime(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		tc.makeSuspect("bad")
		is.Equal(tc.countRefusing("bad"), 2) // one node makes the trial run
		tc.advance(suspectRunTimeout + time.Second)
		is.Equal(tc.countRefusing("bad"), 2) // no result of that run was reported
		tc.crashEndpoint(0, "third", "bad", 7)
		tc.advance(time.Second)
		is.Equal(tc.countRefusing("bad"), 3) // found harmful
	})
}

// Guards against an innocent request that stays a suspect after a successful run.
func TestSuccessfulRunReleasesSuspect(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		tc.makeSuspect("good")
		_, refused := tc.nodes[1].Refused(context.Background(), "good")
		is.True(!refused)
		var waited time.Duration
		go func() {
			begun := time.Now()
			_, refused := tc.nodes[2].Refused(context.Background(), "good")
			is.True(!refused) // as soon as the run of the other node has ended
			waited = time.Since(begun)
		}()
		time.Sleep(suspectRunWait / 2)
		tc.nodes[1].RunSucceeded("good")
		synctest.Wait()
		is.Equal(waited, suspectRunWait/2)
		is.Equal(tc.countRefusing("good"), 0)
		is.Equal(len(tc.persisted), 0)
		is.Equal(tc.nodes[0].tally.CrashCount("good"), minSuspectCrashes) // the crashes stay in the tally
	})
}

// Guards against a released suspect that an older reading of its row restores.
func TestOldRowDoesNotRestoreSuspect(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(1)
		tc.makeSuspect("good")
		persisted := []Verdict{tc.persisted["good"]}
		tc.nodes[0].RunSucceeded("good")
		tc.nodes[0].ApplyPersisted(persisted)
		is.Equal(len(tc.nodes[0].Banned()), 0)
	})
}

func acquiresTrial(r *Rows, v Verdict) bool {
	ok, err := r.AcquireTrial(context.Background(), v)
	return ok && err == nil
}

// Guards against two nodes that both acquire the trial run of a suspect.
func TestRowGrantsTrialToOneNode(t *testing.T) {
	is := is.New(t)
	var stored platform.Row
	r := &Rows{
		Get: func(context.Context, string, string) (platform.Row, error) { return stored, nil },
		Commit: func(_ context.Context, txn platform.Txn) (platform.Result, error) {
			if txn.Checks[0].Version != stored.Version {
				return platform.Result{}, nil
			}
			stored = platform.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: stored.Version + 1}
			return platform.Result{Committed: true}, nil
		},
		Log: slog.New(slog.DiscardHandler),
	}
	v := Verdict{Fingerprint: "bad", Crashes: 2, Suspect: true, Trials: 1}
	is.True(acquiresTrial(r, v))
	is.True(!acquiresTrial(r, v)) // another node has it
	v.Trials++
	is.True(acquiresTrial(r, v))
	found := Verdict{Fingerprint: "bad", Crashes: 3}
	is.True(r.IsWeaker(stored, found))
	is.True(r.Write(t.Context(), found, stored))
	is.True(!r.IsWeaker(stored, v))
	v.Trials++
	is.True(!acquiresTrial(r, v)) // it is no longer a suspect
}

// Guards against a suspicion that a standalone node, which has no table, could never end.
func TestStandaloneNodeHasNoSuspects(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		g := NewStandalone(clock.NewManual(clock.Instant(time.Hour)), slog.New(slog.DiscardHandler))
		g.Dial = fakeDial
		for i := range uint32(minSuspectCrashes) {
			g.AttemptFailed(string(rune('a'+i)), "gone", "bad", i)
			synctest.Wait()
			g.Clock.(*clock.Manual).Advance(time.Second)
		}
		_, refused := g.Refused(context.Background(), "bad")
		is.True(!refused)
	})
}

// Guards against copies of one request that are in flight at many nodes when it becomes a
// suspect, and that each crash their endpoint.
func TestAllButOneRunOfSuspectAreRecalled(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		var recalled atomic.Int32
		for i := range 6 {
			tc.nodes[i%3].BeginRun("bad", func() { recalled.Add(1) })
		}
		var once atomic.Bool
		tc.nodes[0].BeginRun("bad", nil) // must not be cancelled
		end := tc.nodes[1].BeginRun("bad", func() { once.Store(true) })
		end()
		tc.makeSuspect("bad")
		synctest.Wait()
		is.Equal(recalled.Load(), int32(5))
		is.True(!once.Load()) // it had ended
	})
}

// Guards against a node that recalls all its runs of a suspect while the table is unavailable,
// so that no run continues.
func TestEachNodeKeepsOneRunWithoutTable(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		var recalled atomic.Int32
		for i, g := range tc.nodes {
			g.AcquireTrial = func(context.Context, Verdict) (bool, error) { return false, errors.New("away") }
			for range i + 1 {
				g.BeginRun("bad", func() { recalled.Add(1) })
			}
		}
		tc.makeSuspect("bad")
		synctest.Wait()
		is.Equal(recalled.Load(), int32(3))
	})
}

// Guards against the loss of many endpoints whose requests become suspects by the hundred and
// evict those that were found harmful.
func TestSuspectsDoNotEvictHarmfulRequests(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(1)
		g := tc.nodes[0]
		g.ban(Verdict{Fingerprint: "bad", Crashes: 3}, "x")
		for i := range 2 * maxBans {
			g.ban(Verdict{Fingerprint: Fingerprint(strconv.Itoa(i)), Crashes: 2, Suspect: true}, "x")
		}
		is.True(g.isFoundHarmful("bad"))
		is.Equal(g.countSuspects(), maxSuspects)
		is.Equal(g.countRefused(), 1.0)
	})
}

// Guards against evidence that is lost because the run was recalled just before its endpoint
// crashed.
func TestCrashAfterRecallCounts(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(2)
		ended := false
		tc.nodes[0].Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			if ended {
				return nil, syscall.ECONNREFUSED
			}
			near, far := net.Pipe()
			time.AfterFunc(minConnectionLife/2, func() { ended = true; far.Close() })
			return near, nil
		}
		tc.nodes[0].AttemptRecalled("e", "ends", "bad", 1)
		begun := time.Now()
		tc.nodes[0].Refused(context.Background(), "bad")
		is.Equal(time.Since(begun), time.Duration(0)) // the retry waits for no check
		time.Sleep(minConnectionLife)
		synctest.Wait()
		is.Equal(tc.nodes[1].tally.CrashCount("bad"), 1)
	})
}

// Guards against a row that is written after its request was lifted and stays.
func TestRowOfLiftedRequestIsDeleted(t *testing.T) {
	is := is.New(t)
	var writes []platform.Write
	r := &Rows{
		Commit: func(_ context.Context, txn platform.Txn) (platform.Result, error) {
			writes = append(writes, txn.Writes...)
			return platform.Result{Committed: true}, nil
		},
		Log: slog.New(slog.DiscardHandler),
	}
	r.Persist(t.Context(), Verdict{Fingerprint: "hot", Crashes: 4}, platform.Row{}, func(Fingerprint) bool { return true })
	is.Equal(len(writes), 1)
	r.Persist(t.Context(), Verdict{Fingerprint: "hot", Crashes: 4}, platform.Row{}, func(Fingerprint) bool { return false })
	is.Equal(len(writes), 3)
	is.True(writes[2].Delete)
}
