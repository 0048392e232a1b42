package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/standin/service"
	"chervilloom/internal/view"
)

// crasher is a set of endpoints that end when they begin to run any request: their
// connections break, and new ones are refused. They leave the snapshot when that is seen.
type crasher struct {
	rig   *rig
	mu    sync.Mutex
	ended []string
}

func (c *crasher) start(vm string) (addr string) {
	var srv *httptest.Server
	var once sync.Once
	srv = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		once.Do(func() {
			c.mu.Lock()
			c.ended = append(c.ended, vm)
			c.mu.Unlock()
			srv.Listener.Close()
			srv.CloseClientConnections()
			c.rig.change(func(s *view.Snapshot) {
				s.VMs = slices.DeleteFunc(s.VMs, func(v view.VM) bool { return v.Record.VM == fleet.VM(vm) })
				s.Groups = slices.DeleteFunc(s.Groups, func(g view.Group) bool { return g.Members[0].VM == fleet.VM(vm) })
			})
		})
		panic(http.ErrAbortHandler)
	}))
	c.rig.t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func (c *crasher) addService(vm string) {
	rec := fleet.Record{VM: fleet.VM(vm), Addr: c.start(vm), Service: service.DefaultName}
	c.rig.change(func(s *view.Snapshot) { s.VMs = append(s.VMs, view.VM{Record: rec}) })
}

func (c *crasher) addGroup(vm string) {
	g := view.Group{Group: fleet.Group{
		ID: fleet.GroupID("g" + vm), Generation: 1, Phase: fleet.PhaseServing, Zone: testZone, Model: "renewals", Version: "v1",
		Members: []fleet.Member{{VM: fleet.VM(vm), Boot: "b", Addr: c.start(vm), Fence: 1}},
	}, Whole: true, FreshUntil: forever}
	c.rig.change(func(s *view.Snapshot) { s.Groups = append(s.Groups, g) })
}

func (c *crasher) ends() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

// A caller sends a request that ends each endpoint that begins to run it, and sends it
// again under another id when it fails. Each was tried at up to four endpoints, since
// nothing knew what the one before had done: 20 endpoints were gone after five. The request
// is refused after a few; what it did before stays told as "unknown".
func TestRequestThatEndsItsEndpointsIsStopped(t *testing.T) {
	for name, make := range map[string]func(r *rig, id string) *request.Request{
		"lookup":       (*rig).lookup,
		"call":         (*rig).receipt,
		"whole answer": func(r *rig, id string) *request.Request { return sameChat(r, id, false) },
		"stream":       func(r *rig, id string) *request.Request { return sameChat(r, id, true) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			c := &crasher{rig: r}
			for i := range 20 {
				c.addService(fmt.Sprintf("s%d", i))
				c.addGroup(fmt.Sprintf("e%d", i))
			}
			var last *outcome.Error
			for i := range 12 {
				before := c.ends()
				last = r.serve(context.Background(), make(r, fmt.Sprintf("r%d", i))).end.Error
				if last == nil {
					t.Fatal("a crashed endpoint answered")
				}
				if c.ends() > before && last.Outcome == outcome.NotRun {
					t.Fatal("a request that ran was told not to have run")
				}
				time.Sleep(harmPause) // callers come back after a moment; what broke is looked at meanwhile
			}
			const most = 6 // three, and three more
			if c.ends() > most {
				t.Errorf("%d endpoints ended", c.ends())
			}
			if last.Kind != outcome.Quarantined || last.Outcome != outcome.NotRun || last.RetryAfter != 0 {
				t.Errorf("told %v, come back after %v", last, last.RetryAfter)
			}
		})
	}
}

// harmPause is longer than the moment within which ends count as one loss.
const harmPause = 150 * time.Millisecond

func sameChat(r *rig, id string, stream bool) *request.Request {
	req := r.chat(id, 3, stream)
	req.Body = chatBody("crash", 3, stream)
	return req
}

// A service runs on two VMs, whose processes are started again on them. Each life that ends
// counts: with two endpoints there would never be three ends otherwise.
func TestLivesOfAServiceEndOneByOne(t *testing.T) {
	r := newRig(t, nil)
	vm := view.VM{Record: fleet.Record{VM: "s1", Addr: "127.0.0.1:1"}, Load: fleet.Load{Boot: "first"}}
	first := r.d.runAtService(r.lookup("a"), &vm)
	vm.Load.Boot = "second"
	second := r.d.runAtService(r.lookup("b"), &vm)
	if first.endpoint == second.endpoint || first.fp != second.fp {
		t.Errorf("%v and %v", first, second)
	}
}

// Guards against checks of endpoints that go on after their dispatcher is closed.
func TestClosedDispatcherChecksNoEndpoint(t *testing.T) {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	d := New(Options{Clock: clock.Boot{}})
	others := goleak.IgnoreCurrent()
	d.opt.Quarantine.Broke("e1@b", endpoint.Addr().String(), "fp", 1)
	d.Close()
	goleak.VerifyNone(t, others)
}
