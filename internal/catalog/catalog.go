// Package catalog holds what the operator declares: routes, services, engines
// with their models, and organisations with their keys. A Document is one
// version as it was declared; a Catalog is the same version indexed for lookups.
// Both are immutable once built, so that a request sees one version throughout.
package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Repeat says how often a request may run.
type Repeat int

// The kinds of route.
const (
	Once       Repeat = iota // at most one run for each client attempt
	Idempotent               // any number of runs
	Stream                   // a stream of events; runs once unless the route is resumable
)

// Document is one version of the operator's declarations.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Resumable   bool          // a cut stream may go on at another endpoint
	Public      bool          // needs no key
	Timeout     time.Duration // the longest time until the final answer
	Objective   time.Duration // latency within which an answer counts in full
	GapAim      time.Duration // longest pause between events that is on time; Stream only
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // endpoints that one request may run on
	Backends    []Backend
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Stream && r.Resumable
}

// Backend is one service behind a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that an endpoint accepts from all callers together
	Engine     *Engine // nil: a plain service
}

// Engine describes the model engines of a service. Times hold for one group
// before the model's Pace is applied.
type Engine struct {
	Slots          int // requests that a group runs at once
	KVCapacity     int // tokens
	Stride         int // steps in a pass that has writers; an event leaves once a pass
	Chunk          int // prompt tokens read in a step at most
	Step           time.Duration
	PerSequence    time.Duration // added to a step for each writing request
	ContextPerK    time.Duration // added to a step for each 1,000 tokens of context
	ReadPerSecond  float64       // prompt tokens
	PairsPerM      time.Duration // per million pairs of a prompt token and an earlier token
	ReportLag      time.Duration // age of a report when it is given
	LoadsPerSecond float64       // loads from the weight store that may begin, over all endpoints
	LoadsAtOnce    int           // loads that run at full speed
	FormTime       time.Duration // from the open order until the group serves
	FarFactor      float64       // slowdown of a group that spans fabric domains
	Keeps          int           // models that a host keeps staged
	UsualPrompt    int           // mean tokens
	UsualAnswer    int           // mean tokens
	Models         []Model
}

// Model is one model that the engines of a service carry.
type Model struct {
	Name  string
	Size  int           // members of a group
	Pace  float64       // factor on all times of a group
	Share float64       // share of the work at the start
	Load  time.Duration // from the weight store
	Warm  time.Duration // from the host
}

// Model returns the model of that name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Work returns the time that a request takes of a group whose slots are all in
// use: its prompt is read alone, each step writes a token of every slot.
func (e *Engine) Work(m *Model, prompt, answer int) time.Duration {
	read := 0.0
	if e.ReadPerSecond > 0 {
		read = float64(prompt) / e.ReadPerSecond
	}
	token := e.Step.Seconds()/float64(max(1, e.Slots)) + e.PerSequence.Seconds() + e.ContextPerK.Seconds()*float64(prompt)/1000
	return time.Duration(m.Pace * (read + float64(answer)*token) * float64(time.Second))
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // takes precedence over the route's; NoPriority: none declared
}

// NoPriority marks an organisation that leaves the priority to the route.
const NoPriority = -1

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is a Document indexed for lookups.
type Catalog struct {
	Document
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Organisation
	services map[string]*Service
}

// New indexes a document. It fails when a route names a service that the
// document doesn't declare, since requests on it could go nowhere.
func New(doc Document) (*Catalog, error) {
	c := &Catalog{
		Document: doc,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Organisation{},
		services: map[string]*Service{},
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
	for i := range c.Routes {
		if err := c.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Catalog) addRoute(r *Route) error {
	if len(r.Backends) == 0 {
		return fmt.Errorf("catalog: route %q has no service; name one that the document declares", r.Name)
	}
	for _, b := range r.Backends {
		if c.services[b.Service] == nil {
			return fmt.Errorf("catalog: route %q names service %q, which the document doesn't declare", r.Name, b.Service)
		}
	}
	c.byHost[r.Host] = append(c.byHost[r.Host], r)
	return nil
}

// Route returns the route with the longest prefix that begins path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the holder of a key, or nil.
func (c *Catalog) Organisation(key string) *Organisation { return c.byKey[key] }

// Keyed reports whether requests need a key.
func (c *Catalog) Keyed() bool { return len(c.Organisations) > 0 }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// PickBackend returns the service that draw, uniform in [0, 1), falls to by
// the weights of the route's services.
func (r *Route) PickBackend(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	at := draw * float64(total)
	for _, b := range r.Backends {
		at -= float64(b.Weight)
		if at < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Change is what a read of the operator's configuration brought.
type Change struct {
	Document *Document // nil: no newer one
	Cursor   Cursor    // where the next wait goes on
}

// Cursor is a place in the history of the operator's changes. A version means another
// place in another era of the table: see platform.Row.
type Cursor struct {
	Era     uint64
	Version uint64
}

// ErrHistoryGone means that the changes since a cursor are no longer known;
// read the configuration afresh.
var ErrHistoryGone = errors.New("catalog: the changes since then are no longer known; read the configuration afresh")

// InvalidDocument is a configuration that can't be understood.
type InvalidDocument struct{ Cause error }

// Error says what is wrong; the last good configuration stays in force.
func (e *InvalidDocument) Error() string {
	return "catalog: the configuration can't be understood: " + e.Cause.Error() + "; the last good one stays in force"
}

// Unwrap returns the cause.
func (e *InvalidDocument) Unwrap() error { return e.Cause }
