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

// Hundreds of callers come at once and many of them leave at any moment: before
// a decision, in the queue, at their turn. Each gets exactly one final answer,
// what is told as not run never reached the endpoint, and all slots are free in
// the end.
func TestCallersComeAndGo(t *testing.T) {
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
		w.Finish(answer.End{Whole: true})
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
	for (a.models.held.Load() > 0 || a.lookups.held.Load() > 0) && ends.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(ends.Err())
}

// The node's process ends while requests wait. They are told that they did not
// run and may be sent elsewhere; nobody waits for ever.
func TestStopAnswersWhoWaits(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.end.came, "m1")
	waiting := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	r.stop()
	<-waiting.done
	is.Equal(waiting.end.Error.Kind, outcome.ShuttingDown)
	is.Equal(waiting.end.Error.Outcome, outcome.NotRun)
	close(r.end.let)
	<-held.done
	is.True(held.end.Whole)
}

// The lane's goroutine does not keep up and its ring is full. The request is
// refused at once, "not run".
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	l := newLane("model", NewModels(), clock.NewManual(simStart)) // nothing takes from the ring
	for l.ring.Offer(message{}) {
	}
	_, d := l.ask(t.Context(), &Arrival{}, nil)
	is.Equal(d.Verdict, Refuse)
	is.Equal(d.Reason, ReasonLaneFull)
	is.Equal(refusal(&d).Outcome, outcome.NotRun)
}

// A caller comes back for the rest of a stream while all slots are taken and
// others wait. It goes on at once: the stream holds its slot already.
func TestResumeDoesNotWait(t *testing.T) {
	is := is.New(t)
	r := startRig(t, testSnapshot(1))
	held := r.send(t.Context(), modelRequest("m1"))
	is.Equal(<-r.end.came, "m1")
	waiting := r.send(t.Context(), modelRequest("m2"))
	r.waitFor(t, "m2", "queue")
	resume := modelRequest("m3")
	resume.ResumeID = "stream:7"
	resumed := r.send(t.Context(), resume)
	is.Equal(<-r.end.came, "m3")
	close(r.end.let)
	for _, a := range []*recordedAnswer{held, waiting, resumed} {
		<-a.done
		is.True(a.end.Whole)
	}
}
