package load

import (
	"fmt"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// The bounds of a plan.
const (
	MaxRate     = 5000.0 // requests a second
	MaxDuration = 5 * time.Minute
	MaxInFlight = 4096
	MaxRequests = 500_000 // of one run
	MaxWords    = 8192    // of one prompt
	MaxTokens   = 8192    // of one answer
	MaxRetries  = 5
)

// The defaults of a plan.
const (
	defaultInFlight = 512
	defaultTimeout  = 30 * time.Second
	defaultWeight   = 1
)

// Plan describes a load.
type Plan struct {
	Version       int             `yaml:"version" json:"version"`                       // 1
	Seed          int             `yaml:"seed,omitempty" json:"seed"`                   // of arrivals and mix
	Rate          float64         `yaml:"rate" json:"rate"`                             // requests a second, all kinds together
	Duration      config.Duration `yaml:"duration" json:"duration"`                     // of the arrivals
	Arrivals      string          `yaml:"arrivals,omitempty" json:"arrivals"`           // poisson (default) or constant
	InFlight      int             `yaml:"in_flight,omitempty" json:"in_flight"`         // default 512
	Timeout       config.Duration `yaml:"timeout,omitempty" json:"timeout"`             // of one request, default 30s
	Retries       int             `yaml:"retries,omitempty" json:"retries"`             // after "not-run" with Retry-After; default 0
	Organisations []Organisation  `yaml:"organisations" json:"organisations"`           // whose keys are used
	Prefixes      []Prefix        `yaml:"prefixes,omitempty" json:"prefixes,omitempty"` // that prompts share
	Requests      []Request       `yaml:"requests" json:"requests"`                     // the mix
}

// Organisation is a customer in whose name requests are sent.
type Organisation struct {
	Name   string `yaml:"name" json:"name"`
	Key    string `yaml:"key" json:"-"`
	Weight int    `yaml:"weight,omitempty" json:"weight"` // part of the requests, default 1
}

// Prefix is a text that the prompts of several requests begin with.
type Prefix struct {
	Name  string `yaml:"name" json:"name"`
	Words int    `yaml:"words" json:"words"`
}

// Arrivals.
const (
	ArrivalsPoisson  = "poisson"
	ArrivalsConstant = "constant"
)

// Type is what a request is to the system.
type Type string

// The types of request.
const (
	TypeLookup  Type = "lookup"  // a plain call that may be repeated
	TypeReceipt Type = "receipt" // a plain call that runs at most once
	TypeChat    Type = "chat"    // a model call
)

// How a receipt is kept from running twice.
const (
	OnceKey    = "key"    // an Idempotency-Key of its own
	OnceTicket = "ticket" // a ticket, asked for first
)

// Request is one kind of request. "{n}" in Path, Body and Contains stands for
// the number of the request in the run.
type Request struct {
	Name   string `yaml:"name" json:"name"` // in the report
	Type   Type   `yaml:"type" json:"type"`
	Weight int    `yaml:"weight,omitempty" json:"weight"` // part of the requests, default 1
	// Contains must occur in the answer, or the answer is counted as wrong.
	Contains string          `yaml:"contains,omitempty" json:"contains,omitempty"`
	Deadline config.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"` // told to the system; 0: none

	Service string `yaml:"service,omitempty" json:"service,omitempty"` // lookup and receipt
	Method  string `yaml:"method,omitempty" json:"method,omitempty"`   // default GET, for a receipt POST
	Path    string `yaml:"path,omitempty" json:"path,omitempty"`
	Body    string `yaml:"body,omitempty" json:"body,omitempty"`
	Once    string `yaml:"once,omitempty" json:"once,omitempty"` // receipt: key (default) or ticket

	Model     string `yaml:"model,omitempty" json:"model,omitempty"` // chat
	Prefix    string `yaml:"prefix,omitempty" json:"prefix,omitempty"`
	Words     int    `yaml:"words,omitempty" json:"words,omitempty"` // of the prompt after the prefix
	MaxTokens int    `yaml:"max_tokens,omitempty" json:"max_tokens,omitempty"`
	Stream    bool   `yaml:"stream,omitempty" json:"stream,omitempty"`
}

// ReadPlan reads a plan strictly: unknown and doubled keys are faults. name is
// the file's, for messages. All faults are returned together.
func ReadPlan(name string, data []byte) (*Plan, error) {
	p := &Plan{}
	source, decoding := yamlcheck.Decode(name, data, p)
	p.setDefaults()
	if problems := p.Check(source, decoding); problems != nil {
		return nil, problems
	}
	return p, nil
}

func (p *Plan) setDefaults() {
	setDefault(&p.Arrivals, ArrivalsPoisson)
	setDefault(&p.InFlight, defaultInFlight)
	setDefault(&p.Timeout, config.Duration(defaultTimeout))
	for i := range p.Organisations {
		setDefault(&p.Organisations[i].Weight, defaultWeight)
	}
	for i := range p.Requests {
		r := &p.Requests[i]
		setDefault(&r.Weight, defaultWeight)
		switch r.Type {
		case TypeLookup:
			setDefault(&r.Method, "GET")
		case TypeReceipt:
			setDefault(&r.Method, "POST")
			setDefault(&r.Once, OnceKey)
		}
	}
}

func setDefault[T comparable](to *T, v T) {
	var zero T
	if *to == zero {
		*to = v
	}
}

// Check returns all faults of the plan; nil when there is none. source and
// decoding may be nil for a plan that was not read from text.
func (p *Plan) Check(source *yamlcheck.Source, decoding yamlcheck.Problems) error {
	c := &planChecker{Checker: yamlcheck.NewChecker(source, decoding), plan: p}
	c.whole()
	c.organisations()
	c.prefixes()
	for i := range p.Requests {
		c.request(yamlcheck.Index("requests", i), &p.Requests[i])
	}
	if problems := c.Problems(); len(problems) > 0 {
		return problems
	}
	return nil
}

type planChecker struct {
	*yamlcheck.Checker
	plan *Plan
}

func (c *planChecker) whole() {
	p := c.plan
	if p.Version != 1 {
		c.Addf("version", "write 1", "version %d is not known", p.Version)
	}
	if !(p.Rate > 0 && p.Rate <= MaxRate) {
		c.Addf("rate", fmt.Sprintf("write more than 0 and at most %g requests a second", MaxRate), "%g is out of bounds", p.Rate)
	}
	if d := time.Duration(p.Duration); d <= 0 || d > MaxDuration {
		c.Addf("duration", fmt.Sprintf("write at most %s", MaxDuration), "%s is out of bounds", d)
	}
	if n := p.Rate * time.Duration(p.Duration).Seconds(); n > MaxRequests {
		c.Addf("duration", "lower the rate or the duration", "the run has %.0f requests, more than %d", n, MaxRequests)
	}
	if p.Arrivals != ArrivalsPoisson && p.Arrivals != ArrivalsConstant {
		c.Addf("arrivals", "write poisson or constant", "%q is not known", p.Arrivals)
	}
	if p.Seed < 0 {
		c.Addf("seed", "write 0 or more", "%d is negative", p.Seed)
	}
	c.within("in_flight", p.InFlight, 1, MaxInFlight)
	c.within("retries", p.Retries, 0, MaxRetries)
	if d := time.Duration(p.Timeout); d <= 0 || d > MaxDuration {
		c.Addf("timeout", fmt.Sprintf("write at most %s", MaxDuration), "%s is out of bounds", d)
	}
	if len(p.Organisations) == 0 {
		c.Addf("organisations", "name at least one, with its key", "there is no organisation")
	}
	if len(p.Requests) == 0 {
		c.Addf("requests", "describe at least one", "there is no request")
	}
}

func (c *planChecker) within(path string, v, least, most int) {
	if v < least || v > most {
		c.Addf(path, fmt.Sprintf("write %d to %d", least, most), "%d is out of bounds", v)
	}
}

func (c *planChecker) organisations() {
	names := map[string]bool{}
	for i := range c.plan.Organisations {
		o := &c.plan.Organisations[i]
		path := yamlcheck.Index("organisations", i)
		c.name(yamlcheck.Key(path, "name"), o.Name, names)
		if o.Key == "" {
			c.Addf(yamlcheck.Key(path, "key"), "write the caller key", "the key is empty")
		}
		c.within(yamlcheck.Key(path, "weight"), o.Weight, 1, 1000)
	}
}

func (c *planChecker) prefixes() {
	names := map[string]bool{}
	for i := range c.plan.Prefixes {
		f := &c.plan.Prefixes[i]
		path := yamlcheck.Index("prefixes", i)
		c.name(yamlcheck.Key(path, "name"), f.Name, names)
		c.within(yamlcheck.Key(path, "words"), f.Words, 1, MaxWords)
	}
}

// name checks that a name is there and not taken.
func (c *planChecker) name(path, name string, taken map[string]bool) {
	switch {
	case name == "":
		c.Addf(path, "write a name", "the name is empty")
	case taken[name]:
		c.Addf(path, "write another name", "%q is there already", name)
	}
	taken[name] = true
}

func (c *planChecker) request(path string, r *Request) {
	if r.Name == "" {
		c.Addf(yamlcheck.Key(path, "name"), "write the name for the report", "the name is empty")
	}
	for i := range c.plan.Requests {
		if o := &c.plan.Requests[i]; o == r {
			break
		} else if o.Name == r.Name {
			c.Addf(yamlcheck.Key(path, "name"), "write another name", "%q is there already", r.Name)
		}
	}
	c.within(yamlcheck.Key(path, "weight"), r.Weight, 1, 1000)
	if r.Deadline < 0 {
		c.Addf(yamlcheck.Key(path, "deadline"), "write how long the caller waits, like 5s", "%s is negative", time.Duration(r.Deadline))
	}
	switch r.Type {
	case TypeLookup, TypeReceipt:
		c.call(path, r)
	case TypeChat:
		c.chat(path, r)
	default:
		c.Addf(yamlcheck.Key(path, "type"), "write lookup, receipt or chat", "%q is not known", r.Type)
	}
}

func (c *planChecker) call(path string, r *Request) {
	if r.Service == "" {
		c.Addf(yamlcheck.Key(path, "service"), "write the service's name", "the service is not named")
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.Addf(yamlcheck.Key(path, "path"), `write a path like "/status/{n}"`, "%q does not begin with /", r.Path)
	}
	if !validMethods[r.Method] {
		c.Addf(yamlcheck.Key(path, "method"), "write GET, HEAD, POST, PUT, PATCH or DELETE", "%q is not known", r.Method)
	}
	switch {
	case r.Type == TypeLookup && r.Once != "":
		c.Addf(yamlcheck.Key(path, "once"), "leave it out, or make it a receipt", "a lookup may be repeated")
	case r.Type == TypeReceipt && r.Once != OnceKey && r.Once != OnceTicket:
		c.Addf(yamlcheck.Key(path, "once"), "write key or ticket", "%q is not known", r.Once)
	}
	c.unused(path, r.Type, map[string]bool{
		"model": r.Model != "", "prefix": r.Prefix != "", "words": r.Words != 0, "max_tokens": r.MaxTokens != 0, "stream": r.Stream,
	}, "model", "prefix", "words", "max_tokens", "stream")
}

var validMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *planChecker) chat(path string, r *Request) {
	if r.Model == "" {
		c.Addf(yamlcheck.Key(path, "model"), "write the model's name", "the model is not named")
	}
	if r.Prefix != "" && c.plan.prefix(r.Prefix) == nil {
		c.Addf(yamlcheck.Key(path, "prefix"), "name one of the prefixes", "there is no prefix %q", r.Prefix)
	}
	c.within(yamlcheck.Key(path, "words"), r.Words, 0, MaxWords)
	c.within(yamlcheck.Key(path, "max_tokens"), r.MaxTokens, 1, MaxTokens)
	c.unused(path, r.Type, map[string]bool{
		"service": r.Service != "", "method": r.Method != "", "path": r.Path != "", "body": r.Body != "", "once": r.Once != "",
	}, "service", "method", "path", "body", "once")
}

// unused reports keys that mean nothing to the type of request.
func (c *planChecker) unused(path string, t Type, written map[string]bool, inOrder ...string) {
	for _, k := range inOrder {
		if written[k] {
			c.Addf(yamlcheck.Key(path, k), "leave it out", "%s means nothing to a %s", k, t)
		}
	}
}

func (p *Plan) prefix(name string) *Prefix {
	for i := range p.Prefixes {
		if p.Prefixes[i].Name == name {
			return &p.Prefixes[i]
		}
	}
	return nil
}
