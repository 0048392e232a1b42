package load

import (
	"fmt"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// Limits of a plan.
const (
	MaxRate     = 5000.0 // requests per second
	MaxDuration = 5 * time.Minute
	MaxInFlight = 4096
	MaxRequests = 500_000 // per run
	MaxWords    = 8192    // per prompt
	MaxTokens   = 8192    // per answer
	MaxRetries  = 5
)

// Default values of a plan.
const (
	defaultInFlight = 512
	defaultTimeout  = 30 * time.Second
	defaultWeight   = 1
)

// Plan is the description of a load.
type Plan struct {
	Version       int             `yaml:"version" json:"version"`                       // 1
	Seed          int             `yaml:"seed,omitempty" json:"seed"`                   // of the random arrivals and mix
	Rate          float64         `yaml:"rate" json:"rate"`                             // requests per second over all kinds
	Duration      config.Duration `yaml:"duration" json:"duration"`                     // of the schedule
	Arrivals      string          `yaml:"arrivals,omitempty" json:"arrivals"`           // poisson (default) or constant
	InFlight      int             `yaml:"in_flight,omitempty" json:"in_flight"`         // maximum, default 512
	Timeout       config.Duration `yaml:"timeout,omitempty" json:"timeout"`             // per request, default 30s
	Retries       int             `yaml:"retries,omitempty" json:"retries"`             // maximum after "not-run" with Retry-After; default 0
	Organisations []Organisation  `yaml:"organisations" json:"organisations"`           // senders of the requests
	Prefixes      []Prefix        `yaml:"prefixes,omitempty" json:"prefixes,omitempty"` // shared beginnings of prompts
	Requests      []Request       `yaml:"requests" json:"requests"`                     // kinds of request in the mix
}

// Organisation is a customer whose key authenticates a share of the requests.
type Organisation struct {
	Name   string `yaml:"name" json:"name"`
	Key    string `yaml:"key" json:"-"`
	Weight int    `yaml:"weight,omitempty" json:"weight"` // relative share of the requests, default 1
}

// Prefix is a text at the beginning of the prompts of several requests.
type Prefix struct {
	Name  string `yaml:"name" json:"name"`
	Words int    `yaml:"words" json:"words"`
}

// Arrival processes of a plan.
const (
	ArrivalsPoisson  = "poisson"
	ArrivalsConstant = "constant"
)

// RequestType is the type of a request, which decides how it is sent and checked.
type RequestType string

// The types of request.
const (
	TypeLookup  RequestType = "lookup"  // a call of a plain service that may be repeated
	TypeReceipt RequestType = "receipt" // a call of a plain service that must run at most once
	TypeChat    RequestType = "chat"    // a model call
)

// Ways to ensure that a receipt runs at most once.
const (
	OnceKey    = "key"    // a unique Idempotency-Key
	OnceTicket = "ticket" // a ticket, requested before the call
)

// Request is one kind of request in the mix. "{n}" in Path, Body and Contains is
// replaced by the number of the request in the run.
type Request struct {
	Name   string      `yaml:"name" json:"name"` // of the kind in the report
	Type   RequestType `yaml:"type" json:"type"`
	Weight int         `yaml:"weight,omitempty" json:"weight"` // relative share of the requests, default 1
	// Contains is a text that must occur in the answer; otherwise the answer is
	// counted as wrong.
	Contains string          `yaml:"contains,omitempty" json:"contains,omitempty"`
	Deadline config.Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"` // sent in the deadline header; 0: none

	Service string `yaml:"service,omitempty" json:"service,omitempty"` // lookup and receipt
	Method  string `yaml:"method,omitempty" json:"method,omitempty"`   // default GET; POST for a receipt
	Path    string `yaml:"path,omitempty" json:"path,omitempty"`
	Body    string `yaml:"body,omitempty" json:"body,omitempty"`
	Once    string `yaml:"once,omitempty" json:"once,omitempty"` // receipt: key (default) or ticket

	Model     string `yaml:"model,omitempty" json:"model,omitempty"` // chat
	Prefix    string `yaml:"prefix,omitempty" json:"prefix,omitempty"`
	Words     int    `yaml:"words,omitempty" json:"words,omitempty"` // of the prompt, after the prefix
	MaxTokens int    `yaml:"max_tokens,omitempty" json:"max_tokens,omitempty"`
	Stream    bool   `yaml:"stream,omitempty" json:"stream,omitempty"`
}

// ReadPlan parses a YAML plan, sets default values and validates it. Unknown and
// duplicate keys are errors. The returned error lists all problems; name is the
// file name used in them.
func ReadPlan(name string, data []byte) (*Plan, error) {
	p := &Plan{}
	source, decoding := yamlcheck.Decode(name, data, p)
	p.setDefaults()
	if problems := p.Validate(source, decoding); problems != nil {
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

// Validate validates the plan and returns all problems as one error, or nil. source
// and decoding may be nil for a plan that was not parsed from YAML.
func (p *Plan) Validate(source *yamlcheck.Source, decoding yamlcheck.Problems) error {
	c := &planChecker{Checker: yamlcheck.NewChecker(source, decoding), plan: p}
	c.checkTopLevel()
	c.checkOrganisations()
	c.checkPrefixes()
	for i := range p.Requests {
		c.checkRequest(yamlcheck.Index("requests", i), &p.Requests[i])
	}
	if problems := c.Problems(); len(problems) > 0 {
		return problems
	}
	return nil
}

// planChecker collects the problems of a plan.
type planChecker struct {
	*yamlcheck.Checker
	plan *Plan
}

func (c *planChecker) checkTopLevel() {
	p := c.plan
	if p.Version != 1 {
		c.Addf("version", "write 1", "unsupported version %d", p.Version)
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
		c.Addf("arrivals", "write poisson or constant", "unknown arrival process %q", p.Arrivals)
	}
	if p.Seed < 0 {
		c.Addf("seed", "write 0 or more", "%d is negative", p.Seed)
	}
	c.checkRange("in_flight", p.InFlight, 1, MaxInFlight)
	c.checkRange("retries", p.Retries, 0, MaxRetries)
	if d := time.Duration(p.Timeout); d <= 0 || d > MaxDuration {
		c.Addf("timeout", fmt.Sprintf("write at most %s", MaxDuration), "%s is out of bounds", d)
	}
	if len(p.Organisations) == 0 {
		c.Addf("organisations", "add at least one, with its key", "no organisation is given")
	}
	if len(p.Requests) == 0 {
		c.Addf("requests", "add at least one", "no request is given")
	}
}

func (c *planChecker) checkRange(path string, v, least, most int) {
	if v < least || v > most {
		c.Addf(path, fmt.Sprintf("write %d to %d", least, most), "%d is out of bounds", v)
	}
}

func (c *planChecker) checkOrganisations() {
	names := map[string]bool{}
	for i := range c.plan.Organisations {
		o := &c.plan.Organisations[i]
		path := yamlcheck.Index("organisations", i)
		c.checkName(yamlcheck.Key(path, "name"), o.Name, names)
		if o.Key == "" {
			c.Addf(yamlcheck.Key(path, "key"), "write the caller key", "the key is empty")
		}
		c.checkRange(yamlcheck.Key(path, "weight"), o.Weight, 1, 1000)
	}
}

func (c *planChecker) checkPrefixes() {
	names := map[string]bool{}
	for i := range c.plan.Prefixes {
		f := &c.plan.Prefixes[i]
		path := yamlcheck.Index("prefixes", i)
		c.checkName(yamlcheck.Key(path, "name"), f.Name, names)
		c.checkRange(yamlcheck.Key(path, "words"), f.Words, 1, MaxWords)
	}
}

// checkName checks that a name is not empty and unique, and adds it to taken.
func (c *planChecker) checkName(path, name string, taken map[string]bool) {
	switch {
	case name == "":
		c.Addf(path, "write a name", "the name is empty")
	case taken[name]:
		c.Addf(path, "write another name", "duplicate name %q", name)
	}
	taken[name] = true
}

func (c *planChecker) checkRequest(path string, r *Request) {
	if r.Name == "" {
		c.Addf(yamlcheck.Key(path, "name"), "write a name for the report", "the name is empty")
	}
	for i := range c.plan.Requests {
		if o := &c.plan.Requests[i]; o == r {
			break
		} else if o.Name == r.Name {
			c.Addf(yamlcheck.Key(path, "name"), "write another name", "duplicate name %q", r.Name)
		}
	}
	c.checkRange(yamlcheck.Key(path, "weight"), r.Weight, 1, 1000)
	if r.Deadline < 0 {
		c.Addf(yamlcheck.Key(path, "deadline"), "write how long the caller waits, like 5s", "%s is negative", time.Duration(r.Deadline))
	}
	switch r.Type {
	case TypeLookup, TypeReceipt:
		c.checkServiceCall(path, r)
	case TypeChat:
		c.checkChat(path, r)
	default:
		c.Addf(yamlcheck.Key(path, "type"), "write lookup, receipt or chat", "unknown type %q", r.Type)
	}
}

func (c *planChecker) checkServiceCall(path string, r *Request) {
	if r.Service == "" {
		c.Addf(yamlcheck.Key(path, "service"), "write the service's name", "the service is empty")
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.Addf(yamlcheck.Key(path, "path"), `write a path like "/status/{n}"`, "%q does not begin with /", r.Path)
	}
	if !validMethods[r.Method] {
		c.Addf(yamlcheck.Key(path, "method"), "write GET, HEAD, POST, PUT, PATCH or DELETE", "unknown method %q", r.Method)
	}
	switch {
	case r.Type == TypeLookup && r.Once != "":
		c.Addf(yamlcheck.Key(path, "once"), "leave it out, or make it a receipt", "a lookup may be repeated, so once does not apply")
	case r.Type == TypeReceipt && r.Once != OnceKey && r.Once != OnceTicket:
		c.Addf(yamlcheck.Key(path, "once"), "write key or ticket", "unknown value %q", r.Once)
	}
	c.rejectUnusedKeys(path, r.Type, map[string]bool{
		"model": r.Model != "", "prefix": r.Prefix != "", "words": r.Words != 0, "max_tokens": r.MaxTokens != 0, "stream": r.Stream,
	}, "model", "prefix", "words", "max_tokens", "stream")
}

var validMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *planChecker) checkChat(path string, r *Request) {
	if r.Model == "" {
		c.Addf(yamlcheck.Key(path, "model"), "write the model's name", "the model is empty")
	}
	if r.Prefix != "" && c.plan.findPrefix(r.Prefix) == nil {
		c.Addf(yamlcheck.Key(path, "prefix"), "write the name of one of the prefixes", "unknown prefix %q", r.Prefix)
	}
	c.checkRange(yamlcheck.Key(path, "words"), r.Words, 0, MaxWords)
	c.checkRange(yamlcheck.Key(path, "max_tokens"), r.MaxTokens, 1, MaxTokens)
	c.rejectUnusedKeys(path, r.Type, map[string]bool{
		"service": r.Service != "", "method": r.Method != "", "path": r.Path != "", "body": r.Body != "", "once": r.Once != "",
	}, "service", "method", "path", "body", "once")
}

// rejectUnusedKeys reports each key in written that does not apply to the request type.
func (c *planChecker) rejectUnusedKeys(path string, t RequestType, written map[string]bool, inOrder ...string) {
	for _, k := range inOrder {
		if written[k] {
			c.Addf(yamlcheck.Key(path, k), "leave it out", "%s does not apply to a %s", k, t)
		}
	}
}

// findPrefix returns the prefix with the given name, or nil.
func (p *Plan) findPrefix(name string) *Prefix {
	for i := range p.Prefixes {
		if p.Prefixes[i].Name == name {
			return &p.Prefixes[i]
		}
	}
	return nil
}
