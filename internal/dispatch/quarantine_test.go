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

// crasher is a set of endpoints that crash when they start to run a request: their
// connections break, and new ones are refused. A crashed endpoint is removed from the
// snapshot.
type crasher struct {
	rig     *rig
	mu      sync.Mutex
	crashed []string
}

func (c *crasher) startEndpoint(vm string) (addr string) {
	var srv *httptest.Server
	var once sync.Once
	srv = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		once.Do(func() {
			c.mu.Lock()
			c.crashed = append(c.crashed, vm)
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
	rec := fleet.Record{VM: fleet.VM(vm), Addr: c.startEndpoint(vm), Service: service.DefaultName}
	c.rig.change(func(s *view.Snapshot) { s.VMs = append(s.VMs, view.VM{Record: rec}) })
}

func (c *crasher) addGroup(vm string) {
	g := view.Group{Group: fleet.Group{
		ID: fleet.GroupID("g" + vm), Generation: 1, Phase: fleet.PhaseServing, Zone: testZone, Model: "renewals", Version: "v1",
		Members: []fleet.Member{{VM: fleet.VM(vm), Boot: "b", Addr: c.startEndpoint(vm), Fence: 1}},
	}, Whole: true, FreshUntil: forever}
	c.rig.change(func(s *view.Snapshot) { s.Groups = append(s.Groups, g) })
}

func (c *crasher) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashed)
}

// A request crashes each endpoint that starts to run it, and the caller sends it again
// under another ID after each failure. Without the quarantine every request was tried at
// up to four endpoints, and 20 endpoints were lost after five requests. The request must
// be refused after a few crashes; tries before that keep the outcome "unknown".
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
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
				before := c.crashCount()
				last = r.serve(context.Background(), make(r, fmt.Sprintf("r%d", i))).end.Error
				if last == nil {
					t.Fatal("a crashed endpoint returned a response")
				}
				if c.crashCount() > before && last.Outcome == outcome.NotRun {
					t.Fatal("a request that ran was reported as not run")
				}
				time.Sleep(crashPause) // callers retry after a pause; meanwhile the suspects are checked
			}
			const most = 6 // three until the quarantine, and three more runs allowed later
			if c.crashCount() > most {
				t.Errorf("%d endpoints crashed", c.crashCount())
			}
			if last.Kind != outcome.Quarantined || last.Outcome != outcome.NotRun || last.RetryAfter != 0 {
				t.Errorf("got %v, retry after %v", last, last.RetryAfter)
			}
		})
	}
}

// crashPause is longer than the window within which crashes count as one loss.
const crashPause = 150 * time.Millisecond

func sameChat(r *rig, id string, stream bool) *request.Request {
	req := r.chat(id, 3, stream)
	req.Body = chatBody("crash", 3, stream)
	return req
}

// A service runs on two VMs whose processes are restarted. Each incarnation that crashes
// must count: two endpoints would otherwise never reach three crashes.
func TestServiceRunIdentifiesTheIncarnation(t *testing.T) {
	r := newRig(t, nil)
	vm := view.VM{Record: fleet.Record{VM: "s1", Addr: "127.0.0.1:1"}, Load: fleet.Load{Boot: "first"}}
	first := r.d.newServiceRun(r.lookup("a"), &vm)
	vm.Load.Boot = "second"
	second := r.d.newServiceRun(r.lookup("b"), &vm)
	if first.incarnation == second.incarnation || first.fingerprint != second.fingerprint {
		t.Errorf("%v and %v", first, second)
	}
}

// Guards against endpoint checks that continue after their dispatcher is closed.
func TestClosedDispatcherStopsEndpointChecks(t *testing.T) {
	endpoint, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	d := New(Options{Clock: clock.Boot{}})
	others := goleak.IgnoreCurrent()
	d.opt.Quarantine.AttemptFailed("e1@b", endpoint.Addr().String(), "fp", 1)
	d.Close()
	goleak.VerifyNone(t, others)
}
