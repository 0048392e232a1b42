package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/yamlcheck"
)

// Limits of the values in a document.
const (
	CurrentVersion      = 1
	MaxGroupVMs         = 64
	MaxReplicas         = 1000
	MaxWeight           = 1000
	MaxTotalWeight      = 10000
	MaxNameLength       = 64
	keyHashDigits       = 64
	maxPriority         = 100
	maxRetryBudget      = 1
	minProbeFresh       = 200 * time.Millisecond
	maxProbeFresh       = 30 * time.Second
	minLease            = time.Second
	maxLease            = time.Minute
	maxQueueLimit       = 100_000
	minKeyRetention     = time.Minute
	maxKeyRetention     = 30 * 24 * time.Hour
	maxServiceTimeout   = time.Hour
	allVMs              = "*"
	notRepeatableRemedy = "write \"METHOD /path\", such as \"POST /receipts\""
)

// Routing policies; the first is the default.
var routingPolicies = []string{"weighted", "random", "round-robin", "least-reported", "two-choices"}

// Methods that NotRepeatable may list. GET and HEAD may always be repeated.
var notRepeatableMethods = []string{"POST", "PUT", "PATCH", "DELETE"}

// pathPattern excludes queries, fragments, escapes and white space, because the
// paths are compared with the decoded path of a call.
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9/._~!$&'()*+,;=:@-]*$`)

// checker validates a configuration document.
type checker struct{ *yamlcheck.Checker }

func (c checker) checkDocument(d *Document) {
	if d.Version != CurrentVersion {
		c.Addf("version", fmt.Sprintf("write \"version: %d\"", CurrentVersion), "version %d is not known", d.Version)
	}
	c.checkOrganisations(d.Organisations)
	c.checkModels(d.Models)
	c.checkGroups(d)
	c.checkServices(d.Services)
	c.checkObjective(&d.Objective)
	c.checkFenceChecked(d.FenceChecked)
	c.checkPolicy(&d.Policy)
}

func (c checker) checkOrganisations(list []Organisation) {
	names, keys, total := uniqueNames{}, map[string]string{}, 0
	for i, o := range list {
		path := yamlcheck.Index("organisations", i)
		c.checkName(path, o.Name, "organisation", names)
		c.checkKeyHashes(path+".key_hashes", o, keys)
		if o.Weight < 1 || o.Weight > MaxWeight {
			c.Addf(path+".weight", fmt.Sprintf("write a whole number from 1 to %d", MaxWeight), "the weight %d is out of range", o.Weight)
		}
		total += max(0, min(o.Weight, MaxTotalWeight))
		c.checkRate(path+".rate", o.Rate)
		c.checkRate(path+".lookups", o.Lookups)
		if o.Priority < 0 || o.Priority > maxPriority {
			c.Addf(path+".priority", fmt.Sprintf("write a whole number from 0 to %d", maxPriority), "the priority %d is out of range", o.Priority)
		}
	}
	if total > MaxTotalWeight {
		c.Addf("organisations", "write lower weights in the same proportion", "the weights add up to %d, more than %d", total, MaxTotalWeight)
	}
}

func (c checker) checkKeyHashes(path string, o Organisation, owner map[string]string) {
	if len(o.KeyHashes) == 0 {
		c.Addf(path, "write at least one hexadecimal SHA-256 of a caller key", "the organisation has no key")
	}
	for i, h := range o.KeyHashes {
		at := yamlcheck.Index(path, i)
		if !IsKeyHash(h) {
			c.Addf(at, "write the hexadecimal SHA-256 of the key, 64 digits in lower case", "not a SHA-256 hash (%d characters)", len(h))
			continue
		}
		if first, isDuplicate := owner[h]; isDuplicate {
			c.Addf(at, "leave it out in one place", "the key belongs to organisation %q already", first)
			continue
		}
		owner[h] = o.Name
	}
}

// IsKeyHash reports whether s is a hexadecimal SHA-256 in lower case.
func IsKeyHash(s string) bool {
	if len(s) != keyHashDigits || s != strings.ToLower(s) {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

func (c checker) checkRate(path string, rate float64) {
	if !(rate >= 0) || math.IsInf(rate, 0) {
		c.Addf(path, "write a number of requests a second, or leave it out for no cap", "the rate %v is out of range", rate)
	}
}

func (c checker) checkModels(list []Model) {
	names := uniqueNames{}
	for i, m := range list {
		path := yamlcheck.Index("models", i)
		c.checkName(path, m.Name, "model", names)
		if len(m.Versions) == 0 {
			c.Addf(path+".versions", "write at least one version", "the model has no version")
		}
		c.checkNameList(path+".versions", m.Versions, "version")
		c.checkNameList(path+".adapters", m.Adapters, "adapter")
		if len(m.Versions) > 0 && !slices.Contains(m.Versions, m.Current) {
			c.Addf(path+".current", "write one of "+strings.Join(m.Versions, ", "), "the current version %q is not among the versions", m.Current)
		}
	}
}

func (c checker) checkGroups(d *Document) {
	names := uniqueNames{}
	for i := range d.Groups {
		path := yamlcheck.Index("groups", i)
		g := &d.Groups[i]
		c.checkName(path, g.Name, "group", names)
		c.checkGroupModel(path, d, g)
		c.checkGroupSize(path, g)
		c.checkNameList(path+".zones", g.Zones, "availability zone")
	}
}

func (c checker) checkGroupModel(path string, d *Document, g *GroupSpec) {
	c.checkNameList(path+".adapters", g.Adapters, "adapter")
	m := d.Model(g.Model)
	if m == nil {
		c.Addf(path+".model", "write the name of a model of this document", "no model is named %q", g.Model)
		return
	}
	if len(m.Versions) > 0 && !slices.Contains(m.Versions, g.ModelVer) {
		c.Addf(path+".model_version", "write one of "+strings.Join(m.Versions, ", "), "the model %q has no version %q", m.Name, g.ModelVer)
	}
	for i, a := range g.Adapters {
		if !slices.Contains(m.Adapters, a) {
			c.Addf(yamlcheck.Index(path+".adapters", i), "add it to the model's adapters or leave it out here", "the model %q has no adapter %q", m.Name, a)
		}
	}
}

func (c checker) checkGroupSize(path string, g *GroupSpec) {
	if g.VMs < 1 || g.VMs > MaxGroupVMs {
		c.Addf(path+".vms", fmt.Sprintf("write a whole number from 1 to %d", MaxGroupVMs), "a replica of %d VMs is impossible", g.VMs)
	}
	if g.Min < 0 {
		c.Addf(path+".min", "write 0 or more", "the least number of replicas is %d", g.Min)
	}
	if g.Max < 1 || g.Max > MaxReplicas {
		c.Addf(path+".max", fmt.Sprintf("write a whole number from 1 to %d", MaxReplicas), "the greatest number of replicas is %d", g.Max)
		return
	}
	if g.Min > g.Max {
		c.Addf(path+".min", fmt.Sprintf("write at most %d, or raise max", g.Max), "min %d is above max %d", g.Min, g.Max)
	}
}

func (c checker) checkServices(list []Service) {
	names := uniqueNames{}
	for i, s := range list {
		path := yamlcheck.Index("services", i)
		c.checkName(path, s.Name, "service", names)
		c.checkNotRepeatable(path+".not_repeatable", s.NotRepeatable)
		if s.Timeout < 0 || time.Duration(s.Timeout) > maxServiceTimeout {
			c.Addf(path+".timeout", "write a duration up to "+maxServiceTimeout.String(), "%s is out of range", time.Duration(s.Timeout))
		}
	}
}

func (c checker) checkNotRepeatable(path string, list []string) {
	seen := map[string]bool{}
	for i, entry := range list {
		at := yamlcheck.Index(path, i)
		method, prefix, ok := strings.Cut(entry, " ")
		switch {
		case !ok || !pathPattern.MatchString(prefix):
			c.Addf(at, notRepeatableRemedy, "%q is not a method and a path", entry)
		case method == "GET" || method == "HEAD":
			c.Addf(at, "leave it out, or let the service take it by POST", "%s may always be repeated", method)
		case !slices.Contains(notRepeatableMethods, method):
			c.Addf(at, "write one of "+strings.Join(notRepeatableMethods, ", ")+" before the path", "the method %q is not known", method)
		case seen[entry]:
			c.Addf(at, "leave one of them out", "%q stands there twice", entry)
		}
		seen[entry] = true
	}
}

func (c checker) checkObjective(o *Objective) {
	c.checkObjectiveWeight("objective.downtime_weight", o.DowntimeWeight)
	c.checkObjectiveWeight("objective.stranding_weight", o.StrandingWeight)
	if o.DowntimeWeight == 0 && o.StrandingWeight == 0 {
		c.Addf("objective", "write a weight above 0 for downtime, for stranding or for both", "both weights are 0: no decision could be weighed")
	}
}

func (c checker) checkObjectiveWeight(path string, w float64) {
	if !(w >= 0) || math.IsInf(w, 0) {
		c.Addf(path, "write a number of 0 or more", "the weight %v is out of range", w)
	}
}

func (c checker) checkFenceChecked(list []string) {
	for i, vm := range list {
		if vm != allVMs && !validName(vm) {
			c.Addf(yamlcheck.Index("fence_checked", i), "write the id of a VM, or \"*\" alone for all", "%q cannot be the id of a VM", vm)
		}
	}
	c.checkUnique("fence_checked", list, "VM")
	if len(list) > 1 && slices.Contains(list, allVMs) {
		c.Addf("fence_checked", "write either \"*\" alone or the VMs by name", "\"*\" stands beside other VMs")
	}
}

func (c checker) checkPolicy(p *Policy) {
	if p.Routing != "" && !slices.Contains(routingPolicies, p.Routing) {
		c.Addf("policy.routing", "write one of "+strings.Join(routingPolicies, ", "), "the routing %q is not known", p.Routing)
	}
	if !(p.RetryBudget >= 0 && p.RetryBudget <= maxRetryBudget) {
		c.Addf("policy.retry_budget", "write retries per first try, from 0 to 1, such as 0.1", "the budget %v is out of range", p.RetryBudget)
	}
	if p.QueueLimit < 0 || p.QueueLimit > maxQueueLimit {
		c.Addf("policy.queue_limit", fmt.Sprintf("write a whole number from 1 to %d", maxQueueLimit), "the limit %d is out of range", p.QueueLimit)
	}
	c.checkOptionalDuration("policy.probe_fresh", p.ProbeFresh, minProbeFresh, maxProbeFresh)
	c.checkOptionalDuration("policy.lease", p.Lease, minLease, maxLease)
	c.checkOptionalDuration("policy.key_retention", p.KeyRetention, minKeyRetention, maxKeyRetention)
}

func (c checker) checkOptionalDuration(path string, d Duration, minimum, maximum time.Duration) {
	if d == 0 {
		return
	}
	if v := time.Duration(d); v < minimum || v > maximum {
		c.Addf(path, fmt.Sprintf("write a duration from %s to %s", minimum, maximum), "%s is out of range", v)
	}
}
