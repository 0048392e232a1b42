// Package catalog contains the operator's configuration: routes, services, engines with
// their models, and organisations with their keys. A Document is one version as declared; a
// Catalog is the same version indexed for lookups. Both are immutable once built, so that a
// request uses the same version throughout.
package catalog

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy is the kind of a route, which determines how often a request may run.
type RepeatPolicy int

// The kinds of route.
const (
	Once       RepeatPolicy = iota // at most one run for each client attempt
	Idempotent                     // any number of runs
	Stream                         // event stream; one run unless the route is resumable
)

// Document is one version of the operator's configuration.
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
	Prefix      string // path prefix, starts and ends with a slash
	Repeat      RepeatPolicy
	Resumable   bool          // an interrupted stream may be resumed at another endpoint
	Public      bool          // requires no API key
	Timeout     time.Duration // maximum time until the complete response
	Objective   time.Duration // latency objective
	GapAim      time.Duration // objective for the pause between two events; Stream only
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // maximum number of endpoints that run one request
	Backends    []Backend
	// AllowedRegions are the regions whose endpoints may run the requests; empty: all regions.
	AllowedRegions []string
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || r.Repeat == Stream && r.Resumable
}

// Backend is a service that receives a share of a route's requests, by weight.
type Backend struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // maximum number of connections to an endpoint from all callers together
	Engine     *Engine // nil: a plain service
	// ColdRate is the number of requests a second that a cold endpoint accepts from all nodes
	// together; 0: no limit.
	ColdRate float64
}

// Engine describes the model engines of a service. Times are those of one group before they
// are multiplied by the model's Pace.
type Engine struct {
	Slots          int // requests that a group runs concurrently
	KVCapacity     int // capacity of the KV cache in tokens
	Stride         int // steps in a pass with decoding requests, which emit one event per pass
	Chunk          int // maximum number of prompt tokens prefilled in a step
	Step           time.Duration
	PerSequence    time.Duration // added to a step for each decoding request
	ContextPerK    time.Duration // added to a step for each 1,000 tokens of context
	ReadPerSecond  float64       // prefill rate in prompt tokens per second
	PairsPerM      time.Duration // attention time per million pairs of a prompt token and an earlier token
	ReportLag      time.Duration // age of a load report when it is sent
	LoadsPerSecond float64       // maximum rate at which loads from the weight store start, over all endpoints
	LoadsAtOnce    int           // concurrent loads that run at full speed
	FormTime       time.Duration // time from the open order until the group serves
	FarFactor      float64       // slowdown of a group that spans fabric domains
	Keeps          int           // number of models that a host keeps staged
	UsualPrompt    int           // mean prompt length in tokens
	UsualAnswer    int           // mean answer length in tokens
	Models         []Model
}

// Model is a model that the engines of a service can run.
type Model struct {
	Name  string
	Size  int           // members of a group
	Pace  float64       // factor for all times of a group
	Share float64       // initial share of the work
	Load  time.Duration // load time from the weight store
	Warm  time.Duration // load time from the host
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

// ServiceTime returns the share of a fully loaded group's time that a request uses: its prompt is
// prefilled alone, while each decoding step generates one token for every slot. prompt and
// answer are lengths in tokens.
func (e *Engine) ServiceTime(m *Model, prompt, answer int) time.Duration {
	readSeconds := 0.0
	if e.ReadPerSecond > 0 {
		readSeconds = float64(prompt) / e.ReadPerSecond
	}
	tokenSeconds := e.Step.Seconds()/float64(max(1, e.Slots)) + e.PerSequence.Seconds() + e.ContextPerK.Seconds()*float64(prompt)/1000
	return time.Duration(m.Pace * (readSeconds + float64(answer)*tokenSeconds) * float64(time.Second))
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int // overrides the route's priority; NoPriority: not declared
	// AllowedRegions are the regions whose endpoints may run the organisation's requests, in
	// addition to the route's restriction; empty: all regions.
	AllowedRegions []string
}

// NoPriority is the priority of an organisation that declares none; the route's applies.
const NoPriority = -1

// Limits are the limits for client requests. A value that is 0 or outside its range isn't applied.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Ranges of the limits for heads and idle connections. What lies outside would turn clients away that
// send ordinary requests, or would be no limit.
const (
	minHeaderBytes, maxHeaderBytes     = 1 << 10, 1 << 20
	minHeaderTimeout, maxHeaderTimeout = 100 * time.Millisecond, time.Minute
	minIdleTimeout, maxIdleTimeout     = time.Second, time.Hour
)

// Or returns the limits with the given ones in place of those that don't apply.
func (l Limits) Or(other Limits) Limits {
	if l.HeaderBytes < minHeaderBytes || l.HeaderBytes > maxHeaderBytes {
		l.HeaderBytes = other.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = other.BodyBytes
	}
	if l.HeaderTimeout < minHeaderTimeout || l.HeaderTimeout > maxHeaderTimeout {
		l.HeaderTimeout = other.HeaderTimeout
	}
	if l.IdleTimeout < minIdleTimeout || l.IdleTimeout > maxIdleTimeout {
		l.IdleTimeout = other.IdleTimeout
	}
	return l
}

// Catalog is a Document indexed for lookups.
type Catalog struct {
	Document
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Organisation
	services map[string]*Service
	ranks    map[string][]int // by service with an engine, see Ranks
	// rankedRoutes are the services with engines whose streams' routes differ in rank.
	rankedRoutes map[string]bool
	// invalidRanks are the services with engines for which an invalid rank is declared.
	invalidRanks []string
}

// New indexes a document. It fails if a route has no service, or one that the document does
// not declare: its requests could not be served.
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
	c.indexRanks()
	return c, nil
}

// addRoute checks the route's services and adds the route to the index.
func (c *Catalog) addRoute(r *Route) error {
	if len(r.Backends) == 0 {
		return fmt.Errorf("catalog: route %q has no service; add a service that the document declares", r.Name)
	}
	for _, b := range r.Backends {
		if c.services[b.Service] == nil {
			return fmt.Errorf("catalog: route %q refers to service %q, which the document does not declare", r.Name, b.Service)
		}
	}
	c.byHost[r.Host] = append(c.byHost[r.Host], r)
	return nil
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation with that key, or nil.
func (c *Catalog) Organisation(key string) *Organisation { return c.byKey[key] }

// RequiresKey reports whether requests on routes that are not public require a key.
func (c *Catalog) RequiresKey() bool { return len(c.Organisations) > 0 }

// Service returns the service of that name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// PickBackend selects one of the route's services by their weights. draw is a random number
// in [0, 1).
func (r *Route) PickBackend(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	remaining := draw * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Change is the result of a read of the operator's configuration.
type Change struct {
	Document    *Document        // nil: no newer version
	Evacuations EvacuationChange // zones that the operator evacuates
	Cursor      Cursor           // position for the next read
}

// EvacuationChange is a change of the set of evacuated availability zones, to whose endpoints
// nothing is sent.
type EvacuationChange struct {
	Complete bool            // Zones has all evacuated zones
	Zones    map[string]bool // whether a zone is evacuated
}

// Cursor is a position in the history of the operator's changes. Versions are only
// comparable within one era of the table, see platform.Row.
type Cursor struct {
	Era     uint64
	Version uint64
}

// ErrHistoryGone means that the changes since a cursor are no longer available. The caller
// must read the complete configuration.
var ErrHistoryGone = errors.New("catalog: the changes since the cursor are no longer available; read the complete configuration")

// InvalidDocumentError is the error for a configuration that cannot be parsed.
type InvalidDocumentError struct{ Cause error }

// Error returns the cause. The last valid configuration remains in force.
func (e *InvalidDocumentError) Error() string {
	return "catalog: cannot parse the configuration: " + e.Cause.Error() + "; the last valid one remains in force"
}

// Unwrap returns the cause.
func (e *InvalidDocumentError) Unwrap() error { return e.Cause }
