// Package service is a stand-in for a plain service, with short lookups that may be
// repeated and calls, such as receipts, that may not. It counts the executions of each
// request. Faults can be injected while it runs.
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

// DefaultName is the name of the service if Options.Name is empty.
const DefaultName = "counter"

// Options configures a stand-in service. Zero values select the defaults.
type Options struct {
	VM    fleet.VM               `yaml:"vm"`
	Zone  fleet.AvailabilityZone `yaml:"zone"`
	Name  string                 `yaml:"name"`  // of the service; default DefaultName
	Delay config.Duration        `yaml:"delay"` // duration of each call; default 0
	// ExitPath is a path; a call to it ends the process, with exit code ExitCodeCrashed,
	// before the call runs. Empty disables it.
	ExitPath string `yaml:"exit_on"`
}

// ExitCodeCrashed is the exit code of a process that a call to Options.ExitPath ended.
const ExitCodeCrashed = 70

// Faults are the faults that can be injected into a stand-in service.
type Faults struct {
	fault.Stages
	// Stall simulates a paused process: no calls are answered.
	Stall bool `json:"stall"`
	// Slow delays each call.
	Slow config.Duration `json:"slow"`
}

// Answer is the body of an answer.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Serial is a new serial number for each run of a call other than GET and HEAD.
	Serial uint64 `json:"serial,omitempty"`
	// Check is the result of Checksum for the request. Callers use it to recognise
	// the answer to their own request.
	Check string `json:"check"`
	// Runs is the number of runs of this request so far, including this one.
	Runs int `json:"runs"`
}

// Checksum returns a hash of the method, the path including the query, and the body of a
// request.
func Checksum(method, path string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + path + "\x00") // never fails
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// Service is the stand-in for one service VM. It is an http.Handler and safe for
// concurrent use.
type Service struct {
	opts       Options
	mux        *http.ServeMux
	stages     fault.Injector
	gate       fault.Gate // shut while stalled
	executions *fault.Executions

	mu       sync.Mutex
	state    fleet.EngineState
	serial   uint64 // last serial number issued
	running  int    // calls in progress
	sequence uint64 // of the last load report
	faults   Faults

	// Pressure adds rate limits, backoffs and leaving notices to the answers and
	// checks that callers comply with them.
	Pressure pressure.Monitor
}

var pressureNames = pressure.HeaderNames{Limit: engine.HeaderRateLimit, RetryAfter: engine.HeaderRetryAfter, Leaving: engine.HeaderLeaving, NotRun: engine.HeaderNotRun, NotRunValue: "true"}

// gracePeriods are short to keep tests fast.
var gracePeriods = pressure.GracePeriods{Limit: time.Second, Leaving: time.Second}

// New returns a service with a new boot id.
func New(o Options) *Service {
	if o.Name == "" {
		o.Name = DefaultName
	}
	s := &Service{opts: o, executions: fault.NewExecutions()}
	s.Restart()
	s.mux = s.routes()
	return s
}

// Restart simulates a restart of the VM: the boot id changes and the leaving state ends.
// The execution counts are kept.
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

// State returns the state that the service reports.
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

// Faults returns the faults with their remaining counts.
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

// Executions returns how often a call ran. The key is its Idempotency-Key, or its
// X-Request-Id if it has none; the path includes the query.
func (s *Service) Executions(method, path, key string) int {
	return s.executions.Count(executionKey(method, path, key))
}

// executionKey returns the key of a call in the execution counts, such as
// "POST /receipts key".
func executionKey(method, path, key string) string { return fmt.Sprintf("%s %s %s", method, path, key) }

// ServeHTTP serves GET /state, GET /load and POST /leave and, for tests, GET and POST
// /faults and GET /executions. Any other request is a call to the service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.gate.Serve(w, r, s.mux) }

func (s *Service) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { fault.ReplyJSON(w, http.StatusOK, s.State()) })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+fault.PathFaults, func(w http.ResponseWriter, _ *http.Request) { fault.ReplyJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("POST "+fault.PathFaults, s.serveSetFaults)
	mux.Handle("GET "+fault.PathExecutions, s.executions)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.Pressure.Serve(w, r, pressureNames, gracePeriods, s.serveCall)
	})
	return mux
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.sequence++
	l := fleet.Load{VM: s.opts.VM, Boot: s.state.Boot, Sequence: s.sequence, Running: s.running}
	s.mu.Unlock()
	fault.ReplyJSON(w, http.StatusOK, l)
}

// faultOrder is the body of POST /faults. Fields that are left out keep their value.
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
	fault.ReplyJSON(w, http.StatusOK, o.Faults)
}

// serveCall serves a call to the service, with the fault that applies to it.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	at := s.stages.Next(r)
	body, err := fault.ReadBody(r, at)
	if err != nil {
		return // the caller disconnected
	}
	state := s.State()
	w.Header().Set(engine.HeaderBoot, string(state.Boot))
	if state.Leaving || at == fault.Refuse {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if s.opts.ExitPath != "" && r.URL.Path == s.opts.ExitPath {
		os.Exit(ExitCodeCrashed)
	}
	answer := s.run(r, body)
	switch at {
	case fault.AfterRun:
		fault.Abort()
	case fault.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		fault.WriteAnswer(w, answer, at)
	}
}

// run executes the call, even if its caller disconnects, and returns the JSON of its
// Answer.
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
		Check: Checksum(r.Method, path, body),
		Runs:  s.executions.Add(executionKey(r.Method, path, key)),
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
