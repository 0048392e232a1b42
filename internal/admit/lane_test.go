package admit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/filter"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// countedAnswer counts how often an answer was finished.
type countedAnswer struct {
	finished int
	end      answer.End
}

func (c *countedAnswer) Start(answer.Head) error  { return nil }
func (c *countedAnswer) Frame(answer.Frame) error { return nil }
func (c *countedAnswer) Finish(e answer.End)      { c.finished++; c.end = e }

// Hundreds of callers arrive at once and many disconnect at any time: before a
// decision, in the queue, or while being admitted. Each must get exactly one final
// answer, requests answered as "not run" must not reach the endpoint, and all slots
// must be free in the end.
func TestConcurrentArrivalsAndCancellations(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	a := New(Options{View: fixedView{testSnapshot(3)}, Clock: clock.Boot{}})
	var running sync.WaitGroup
	running.Go(func() { a.Run(ctx) })
	defer func() { cancel(); running.Wait() }()
	var mu sync.Mutex
	ran := map[string]bool{}
	path := filter.Chain(filter.Func(func(_ context.Context, req *request.Request, w answer.Writer) {
		mu.Lock()
		ran[req.ID] = true
		mu.Unlock()
		_ = w.Start(answer.Head{Status: 200})
		w.Finish(answer.End{Complete: true})
	}), a.Filter())

	const callers = 400
	answers := make([]countedAnswer, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			if i%2 == 0 {
				go func() {
					time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
					leave()
				}()
			}
			req := modelRequest(fmt.Sprint(i))
			if i%3 == 0 {
				req = lookupRequest(fmt.Sprint(i))
			}
			path.Serve(ctx, req, &answers[i])
		})
	}
	wg.Wait()
	for i := range answers {
		is.Equal(answers[i].finished, 1)
		if e := answers[i].end.Error; e != nil {
			is.Equal(e.Outcome, outcome.NotRun)
			is.True(!ran[fmt.Sprint(i)])
		} else {
			is.True(ran[fmt.Sprint(i)])
		}
	}
	ends, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	for (a.models.handlesInUse.Load() > 0 || a.lookups.handlesInUse.Load() > 0) && ends.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(ends.Err())
}

// The node stops while requests are queued. They must be answered as "not run", so
// that they can be sent elsewhere and no caller blocks forever.
func TestStopRefusesQueuedRequests(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.endpoint.arrivals, "m1")
	waiting := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	r.stop()
	<-waiting.done
	is.Equal(waiting.end.Error.Kind, outcome.ShuttingDown)
	is.Equal(waiting.end.Error.Outcome, outcome.NotRun)
	close(r.endpoint.release)
	<-held.done
	is.True(held.end.Complete)
}

// The lane's goroutine falls behind and its ring is full. A request must be refused
// at once, "not run".
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	l := newLane("model", NewModels(), clock.NewManual(simStart)) // no goroutine reads the ring
	for l.ring.Offer(message{}) {
	}
	_, d := l.decide(t.Context(), &Arrival{}, nil)
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, ReasonLaneFull)
	is.Equal(refusal(&d).Outcome, outcome.NotRun)
}

// A caller resumes a stream while all slots are in use and others are queued. It
// must proceed at once, because the stream still occupies its slot.
func TestResumeDoesNotWait(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.endpoint.arrivals, "m1")
	waiting := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	resume := modelRequest("m3")
	resume.ResumeID = "stream:7"
	resumed := r.send(t.Context(), resume)
	is.Equal(<-r.endpoint.arrivals, "m3")
	close(r.endpoint.release)
	for _, a := range []*recordedAnswer{held, waiting, resumed} {
		<-a.done
		is.True(a.end.Complete)
	}
}
