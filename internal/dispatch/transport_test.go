package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/view"
)

// The deadline passes after net/http obtained a connection and before its writer
// goroutine writes. The outcome is "not run", so the write must not go out afterwards.
func TestClosedConnectionSendsNothingLater(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &countingConn{Conn: near}
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	is.True(!s.closeAndCheck())
	_, err := c.Write([]byte("late"))
	is.True(err != nil)
	is.True(s.closeAndCheck()) // the failed write counts as sent, as one before the close would
}

func TestUncountedConnectionCountsAsSent(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	s := &sendTracker{}
	s.gotConn(httptrace.GotConnInfo{Conn: near})
	is.True(s.closeAndCheck())
}

// Hundreds of requests are cancelled at random times: before, during and after sending,
// and while the endpoint runs them. For each "not-run" the endpoint's counter must be
// zero, also later, and no request may run twice.
func TestNotRunIsCorrectAtAnyTime(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	s := service.New(service.Options{VM: "s1", Delay: config.Duration(500 * time.Microsecond)})
	srv := httptest.NewServer(s)
	addr := srv.Listener.Addr().String()
	r.change(func(sn *view.Snapshot) {
		sn.VMs = []view.VM{{Record: fleet.Record{VM: "s1", Addr: addr, Service: service.DefaultName}}}
	})
	rng := rand.New(rand.NewPCG(1, 2))
	const receipts = 400
	outcomes := make([]outcome.Outcome, receipts)
	var wg sync.WaitGroup
	for i := range receipts {
		q := r.receipt(fmt.Sprintf("r%d", i))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.Int64N(int64(4*time.Millisecond))))
		wg.Go(func() {
			defer cancel()
			c := r.serve(ctx, q)
			if !c.end.Complete {
				outcomes[i] = c.end.Error.Outcome
			}
		})
		if i%20 == 19 {
			wg.Wait()
		}
	}
	wg.Wait()
	srv.Close() // returns when every received call has ended
	kinds := make(map[outcome.Outcome]int)
	for i, o := range outcomes {
		kinds[o]++
		n := s.Executions("POST", "/receipts", fmt.Sprintf("r%d", i))
		is.True(n <= 1)
		if o == outcome.NotRun {
			is.Equal(n, 0)
		}
		if o == "" || o == outcome.Ran {
			is.Equal(n, 1)
		}
	}
	t.Logf("outcomes: %v", kinds)
}
