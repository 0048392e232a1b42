// Package service is a small stand-in for a plain service: quick lookups that
// may be repeated and calls, such as receipts, that may not. It counts what it
// ran, and its faults can be switched while it runs.
package service

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/pressure"
)

// DefaultName is the name of the service when the options give none.
const DefaultName = "counter"

// Options describe a stand-in service. Zero values stand for the defaults.
type Options struct {
	VM    fleet.VM               `yaml:"vm"`
	Zone  fleet.AvailabilityZone `yaml:"zone"`
	Name  string                 `yaml:"name"`  // of the service; default "counter"
	Delay config.Duration        `yaml:"delay"` // time that a call takes; default none
	// ExitOn ends the process when it begins to run a call with this path; empty: none.
	ExitOn string `yaml:"exit_on"`
}

// ExitCrashed is the exit code of a process that a call has ended.
const ExitCrashed = 70

// Faults are the switches of a stand-in service.
type Faults struct {
	fault.Stages
	// Stall pauses the process: it answers nothing.
	Stall bool `json:"stall"`
	// Slow delays each call.
	Slow config.Duration `json:"slow"`
}

// Answer is the body of an answer.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Serial is drawn anew for each run of a call that changes something.
	Serial uint64 `json:"serial,omitempty"`
	// Check is CheckOf the request: callers tell their own answer by it.
	Check string `json:"check"`
	// Runs counts the runs of this request so far, this one included.
	Runs int `json:"runs"`
}

// CheckOf returns the check value of the answer to a request. The path includes
// the query.
func CheckOf(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\x00") // never fails
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// Service is the stand-in of one service VM. It is an http.Handler and safe for
// concurrent use.
type Service struct {
	opts   Options
	mux    *http.ServeMux
	stages fault.Switch
	gate   fault.Gate // shut while stalled
	runs   *fault.Executions

	mu       sync.Mutex
	state    fleet.EngineState
	serial   uint64
	running  int
	sequence uint64
	faults   Faults

	// Pressure is what the service says of how much it takes, and who kept to it.
	Pressure pressure.Endpoint
}

var pressureNames = pressure.Names{Limit: engine.HeaderRateLimit, RetryAfter: engine.HeaderRetryAfter, Leaving: engine.HeaderLeaving, NotRun: engine.HeaderNotRun, Promise: "true"}

// pressureBounds are short, so that tests don't wait.
var pressureBounds = pressure.Bounds{Stable: time.Second, Drain: time.Second}

// New returns a service with a fresh boot id.
func New(o Options) *Service {
	if o.Name == "" {
		o.Name = DefaultName
	}
	s := &Service{opts: o, runs: fault.NewExecutions()}
	s.Restart()
	s.mux = s.routes()
	return s
}

// Restart begins a new life with a new boot id; the counts stay.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = fleet.EngineState{VM: s.opts.VM, Boot: fleet.BootID(uuid.NewString())}
}

// Record returns the service's row for the platform's list of VMs.
func (s *Service) Record(addr string) fleet.Record {
	return fleet.Record{
		VM: s.opts.VM, Kind: fleet.KindService, Addr: addr, Service: s.opts.Name,
		Zone: s.opts.Zone, State: fleet.StateLive,
	}
}

// State returns what the service reports of itself.
func (s *Service) State() fleet.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Leave makes the service refuse new calls until it restarts.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Leaving = true
}

// Faults returns the faults with what is left of their counts.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Stages = s.stages.Get()
	return f
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f Faults) {
	s.stages.Set(f.Stages)
	s.gate.Set(f.Stall)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns how often a call ran: the key is its Idempotency-Key, else
// its X-Request-Id, after the method and the path as in "POST /receipts key".
func (s *Service) Executions(method, path, key string) int {
	return s.runs.Count(runKey(method, path, key))
}

func runKey(method, path, key string) string { return fmt.Sprintf("%s %s %s", method, path, key) }

// ServeHTTP serves GET /state, /load, POST /leave, and any other path as the
// service's calls; for tests GET and POST /faults and GET /executions.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.gate.Serve(w, r, s.mux) }

func (s *Service) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { fault.Reply(w, http.StatusOK, s.State()) })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+fault.PathFaults, func(w http.ResponseWriter, _ *http.Request) { fault.Reply(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST "+fault.PathFaults, s.serveSetFaults)
	mux.Handle("GET "+fault.PathExecutions, s.runs)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.Pressure.Serve(w, r, pressureNames, pressureBounds, s.serveCall)
	})
	return mux
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.sequence++
	l := fleet.Load{VM: s.opts.VM, Boot: s.state.Boot, Sequence: s.sequence, Running: s.running}
	s.mu.Unlock()
	fault.Reply(w, http.StatusOK, l)
}

// faultOrder is the body of POST /faults; fields left out stay as they are.
type faultOrder struct {
	Faults
	Restart bool `json:"restart"`
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	o := faultOrder{Faults: s.Faults()}
	if !fault.ReadJSON(w, r, &o) {
		return
	}
	if o.Restart {
		s.Restart()
	}
	s.SetFaults(o.Faults)
	fault.Reply(w, http.StatusOK, o.Faults)
}

// serveCall runs one call.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	at := s.stages.Next(r)
	body, err := fault.ReadBody(r, at)
	if err != nil {
		return // the caller has left
	}
	state := s.State()
	w.Header().Set(engine.HeaderBoot, string(state.Boot))
	if state.Leaving || at == fault.Refuse {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if s.opts.ExitOn != "" && r.URL.Path == s.opts.ExitOn {
		os.Exit(ExitCrashed)
	}
	answer := s.run(r, body)
	switch at {
	case fault.AfterRun:
		fault.Abort()
	case fault.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		fault.Answer(w, answer, at)
	}
}

// run executes the call, whether or not its caller is still there.
func (s *Service) run(r *http.Request, body []byte) []byte {
	s.mu.Lock()
	s.running++
	wait := time.Duration(s.opts.Delay) + time.Duration(s.faults.Slow)
	s.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Request-Id")
	}
	path := r.URL.RequestURI()
	a := Answer{
		Method: r.Method, Path: path,
		Check: CheckOf(r.Method, path, body),
		Runs:  s.runs.Add(runKey(r.Method, path, key)),
	}
	s.mu.Lock()
	s.running--
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.serial++
		a.Serial = s.serial
	}
	s.mu.Unlock()
	out, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return out
}
