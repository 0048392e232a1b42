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

// The deadline passes between the moment net/http takes a connection and the
// moment its writer goroutine writes. "Not run" is told; the write must not go
// out afterwards.
func TestSealedConnectionSendsNothingLater(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &meteredConn{Conn: near}
	s := &sends{}
	s.gotConn(httptrace.GotConnInfo{Conn: c})
	is.True(!s.seal())
	_, err := c.Write([]byte("late"))
	is.True(err != nil)
	is.True(s.seal()) // a write was tried; had it been before, it would count as sent
}

func TestUncountedConnectionCountsAsSent(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	s := &sends{}
	s.gotConn(httptrace.GotConnInfo{Conn: near})
	is.True(s.seal())
}

// Hundreds of receipts end at random moments: before, while and after they are
// sent, and while the endpoint runs them. Whoever is told "not-run" must find
// the endpoint's count at zero, also later; nobody's receipt runs twice.
func TestNotRunIsTrueAtAnyMoment(t *testing.T) {
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
	told := make([]outcome.Outcome, receipts)
	var wg sync.WaitGroup
	for i := range receipts {
		q := r.receipt(fmt.Sprintf("r%d", i))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.Int64N(int64(4*time.Millisecond))))
		wg.Go(func() {
			defer cancel()
			c := r.serve(ctx, q)
			if !c.end.Whole {
				told[i] = c.end.Error.Outcome
			}
		})
		if i%20 == 19 {
			wg.Wait()
		}
	}
	wg.Wait()
	srv.Close() // returns when every call that arrived has ended
	kinds := make(map[outcome.Outcome]int)
	for i, o := range told {
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
	t.Logf("told: %v", kinds)
}
