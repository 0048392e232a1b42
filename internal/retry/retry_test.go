package retry

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestBudgetBoundsRetries(t *testing.T) {
	// Every try fails and is retried as often as allowed, in any order and at any pace.
	// No class may get more retries than its burst, its share of first tries and
	// MinPerSecond together, and after the wait returned with a refusal a retry must be
	// available.
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(clock.Instant(time.Hour))
		b := NewBudget(BudgetOptions{Clock: c})
		start := c.Now()
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				c.Advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				firsts++
				b.CountFirst(request.ClassModel)
				b.CountFirst(request.ClassLookup) // tries of another class earn nothing here
			default:
				ok, wait := b.Allow(request.ClassModel)
				if ok {
					retries++
					continue
				}
				c.Advance(wait)
				if ok, _ := b.Allow(request.ClassModel); !ok {
					t.Fatalf("no retry after the returned wait of %v", wait)
				}
				retries++
			}
		}
		most := defaultBurst + defaultRatio*float64(firsts) + defaultMinPerSecond*c.Now().Sub(start).Seconds()
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries, want at most %.2f", retries, most)
		}
	})
}

func TestBackoffStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, last := Backoff{}.withDefaults(), time.Duration(0)
		for range 20 {
			next := b.Next(last, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if next < b.Base || next > min(b.Max, jitterFactor*max(last, b.Base)) {
				t.Fatalf("%v follows %v", next, last)
			}
			last = next
		}
	})
}

func ids(n int) []ID {
	out := make([]ID, n)
	for i := range out {
		out[i] = ID(fmt.Sprint("e", i))
	}
	return out
}

func TestEjectedShareStaysWithinLimit(t *testing.T) {
	// All or some candidates fail while candidates are added and removed, in any order.
	// The limit must be kept, at least one candidate must stay, and after the longest
	// ejection every candidate must get a request.
	rapid.Check(t, func(t *rapid.T) {
		s := NewOutliers(OutlierOptions{})
		all := ids(12)
		now := clock.Instant(time.Hour)
		s.Step(now, Candidates{IDs: all[:rapid.IntRange(1, 12).Draw(t, "candidates")]})
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			id := all[rapid.IntRange(0, 11).Draw(t, "id")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				s.Step(now, Succeeded{ID: id})
			case 2:
				s.Step(now, SendRequested{ID: id})
			case 3:
				s.Step(now, Candidates{IDs: all[:rapid.IntRange(1, 12).Draw(t, "candidates")]})
			default:
				s.Step(now, Failed{ID: id})
			}
			if n := len(s.members); s.ejected > max(1, 3*n/10) || s.ejected == n {
				t.Fatalf("%d of %d ejected", s.ejected, n)
			}
		}
		now = now.Add(s.opt.MaxEjection)
		for id := range s.members {
			if s.Step(now, SendRequested{ID: id}).Verdict == Refuse {
				t.Fatalf("%s is refused after the longest ejection", id)
			}
		}
	})
}

func TestEjectionGrowsAndEndsWithATrial(t *testing.T) {
	// One endpoint of ten fails each request. It must be ejected and get a single trial
	// after the ejection; a failed trial must double the ejection, and a successful one
	// end it.
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	e := NewEjector(OutlierOptions{}, c, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	e.SetCandidates(ids(10))
	for range 5 {
		is.True(e.AllowRequest("e3"))
		e.Report("e3", true)
	}
	is.True(e.Ejected("e3"))
	is.True(!e.AllowRequest("e3"))
	c.Advance(2 * time.Second)
	is.True(e.AllowRequest("e3"))  // the trial
	is.True(!e.AllowRequest("e3")) // only one
	e.Report("e3", true)
	c.Advance(2 * time.Second)
	is.True(!e.AllowRequest("e3")) // twice as long
	c.Advance(2 * time.Second)
	is.True(e.AllowRequest("e3"))
	e.Report("e3", false)
	is.True(!e.Ejected("e3"))
	is.True(e.AllowRequest("e3"))
}

func TestRateIsComparedWithPeers(t *testing.T) {
	// Half of the requests to one endpoint fail, never five in a row. If only this
	// endpoint fails it must be ejected; if all endpoints fail alike, the cause is
	// elsewhere and none may be.
	for name, others := range map[string]bool{"alone": false, "like all": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewOutliers(OutlierOptions{})
			now := clock.Instant(time.Hour)
			s.Step(now, Candidates{IDs: ids(10)})
			for i := range 100 {
				for _, id := range ids(10) {
					if i%2 == 0 && (others || id == "e3") {
						s.Step(now, Failed{ID: id})
						continue
					}
					s.Step(now, Succeeded{ID: id})
				}
			}
			is.Equal(s.ejected, map[bool]int{false: 1, true: 0}[others])
		})
	}
}

func BenchmarkAllow(b *testing.B) {
	for name, c := range map[string]clock.Clock{"boot": clock.Boot{}, "steady": nil} {
		b.Run(name, func(b *testing.B) {
			budget := NewBudget(BudgetOptions{Clock: c, Burst: 1e9, MinPerSecond: 1e6})
			b.ReportAllocs()
			for b.Loop() {
				budget.Allow(request.ClassModel)
			}
		})
	}
}

func BenchmarkFirst(b *testing.B) {
	budget := NewBudget(BudgetOptions{})
	b.ReportAllocs()
	for b.Loop() {
		budget.CountFirst(request.ClassModel)
	}
}

func BenchmarkEjector(b *testing.B) {
	e := NewEjector(OutlierOptions{}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	e.SetCandidates(ids(50))
	b.Run("usable", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.AllowRequest("e7")
		}
	})
	b.Run("report", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.Report("e7", false)
		}
	})
}

// Guards against a burst of retries that each of several processes on one VM uses.
func TestProcessesInSeriesShareTheBurst(t *testing.T) {
	c := clock.NewManual(clock.Instant(time.Hour))
	start, retries := c.Now(), 0
	for range 5 {
		b := NewBudget(BudgetOptions{Clock: c})
		for range 20 {
			c.Advance(100 * time.Millisecond)
			for ok := true; ok; {
				if ok, _ = b.Allow(request.ClassModel); ok {
					retries++
				}
			}
		}
	}
	if most := defaultMinPerSecond * c.Now().Sub(start).Seconds(); float64(retries) > most {
		t.Errorf("%d retries by five processes, %v allowed", retries, most)
	}
}
