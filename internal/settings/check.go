package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// checker validates settings.
type checker struct {
	*yamlcheck.Checker
	checkFileReadable func(path string) error
}

func (s *Settings) validate(base *yamlcheck.Checker, checkFileReadable func(string) error) {
	c := checker{base, checkFileReadable}
	c.checkNotEmpty("vm", string(s.VM))
	c.checkNotEmpty("availability_zone", string(s.Zone))
	c.checkIP(s.IP)
	c.checkAddress("listen.caller", s.Listen.Caller)
	c.checkAddress("listen.operator", s.Listen.Operator)
	c.checkAddress("listen.peer", s.Listen.Peer)
	c.checkURL("platform.url", s.Platform.URL)
	c.checkSeeds(s.Seeds)
	c.checkPeer(&s.Peer)
	c.checkTLS("caller_tls", s.CallerTLS)
	c.checkTLS("operator_tls", s.OperatorTLS)
	c.checkOperators(s.Operators)
	c.checkTrace(&s.Trace)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, LogText, LogJSON)
	c.checkTiming(&s.Timing)
	if s.BodyLimit > MaxBodyLimit {
		c.Addf("body_limit", "write a size up to 64MiB", "the limit of %d bytes is above the maximum that nodes forward to each other", s.BodyLimit)
	}
}

func (c checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.Addf(path, "write "+path, "must not be empty")
	}
}

func (c checker) checkIP(ip netip.Addr) {
	switch {
	case !ip.IsValid():
		c.Addf("ip", "write the node's address by number, such as 10.0.0.1", "must not be empty")
	case ip.IsUnspecified(), ip.IsMulticast():
		c.Addf("ip", "write the one address that peers reach, such as 10.0.0.1", "%s is not the address of one VM", ip)
	}
}

func (c checker) checkAddress(path string, a netip.AddrPort) {
	if !a.IsValid() {
		c.Addf(path, "write ip:port, such as 10.0.0.1:8080; port 0 lets the kernel choose", "must not be empty")
	}
}

func (c checker) checkURL(path, value string) {
	const remedy = "write http://ip:port, such as http://10.0.0.1:9000"
	if value == "" {
		c.Addf(path, remedy, "must not be empty")
		return
	}
	u, err := url.Parse(value)
	if err != nil {
		c.Addf(path, remedy, "%q is not a URL", value)
		return
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		c.Addf(path, remedy, "%q does not begin with http:// or https://", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.Addf(path, remedy, "the host %q is not an IP number", u.Hostname())
	}
}

func (c checker) checkSeeds(seeds []netip.AddrPort) {
	for i, s := range seeds {
		if !s.IsValid() || s.Port() == 0 {
			c.Addf(yamlcheck.Index("seeds", i), "write the ip:port of a peer, such as 10.0.0.2:7946", "%q is not the address of a peer", s)
		}
	}
}

func (c checker) checkPeer(p *Peer) {
	const choice = "write exactly one of peer.secret_file and peer.secret"
	switch {
	case p.Secret == "" && p.SecretFile == "":
		// Certificates do not replace the secret, which also authenticates
		// tickets and operators' sessions.
		c.Addf("peer", choice, "the deployment's secret is missing")
	case p.Secret != "" && p.SecretFile != "":
		c.Addf("peer", choice, "the deployment's secret is given twice")
	}
	if p.Secret != "" {
		if err := checkSecret(p.Secret); err != nil {
			c.Addf("peer.secret", fmt.Sprintf("write at least %d random characters", minSecretLength), "the secret is too short")
		}
	}
	c.checkOptionalFile("peer.secret_file", p.SecretFile)
	if p.Advertise.IsValid() && p.Advertise.Port() == 0 {
		c.Addf("peer.advertise", "write the ip:port that other nodes reach this one at, or leave it out", "port 0 is not reachable")
	}
	if p.CertFile != "" || p.KeyFile != "" || p.CAFile != "" {
		c.checkRequiredFile("peer.cert_file", p.CertFile)
		c.checkRequiredFile("peer.key_file", p.KeyFile)
		c.checkRequiredFile("peer.ca_file", p.CAFile)
	}
}

func (c checker) checkRequiredFile(path, name string) {
	c.checkNotEmpty(path, name)
	c.checkOptionalFile(path, name)
}

func (c checker) checkOptionalFile(path, name string) {
	if name == "" {
		return
	}
	if err := c.checkFileReadable(name); err != nil {
		c.Addf(path, "write the path of a file that the node may read", "%v", err)
	}
}

func (c checker) checkTLS(path string, t TLS) {
	if t.CertFile == "" && t.KeyFile == "" {
		return
	}
	c.checkRequiredFile(path+".cert_file", t.CertFile)
	c.checkRequiredFile(path+".key_file", t.KeyFile)
}

func (c checker) checkOperators(operators []Operator) {
	names := make(map[string]bool, len(operators))
	for i, o := range operators {
		path := yamlcheck.Index("operators", i)
		c.checkNotEmpty(path+".name", o.Name)
		if names[o.Name] && o.Name != "" {
			c.Addf(path+".name", "write another name or leave one out", "the operator name %q is used twice", o.Name)
		}
		names[o.Name] = true
		if !config.IsKeyHash(o.TokenHash) {
			c.Addf(path+".token_hash", "write the hexadecimal SHA-256 of the token, 64 digits", "%q is not a SHA-256 hash", redact(o.TokenHash))
		}
	}
}

// redact truncates a value that may be a secret entered instead of its hash.
func redact(s string) string {
	const shown = 4
	if _, err := hex.DecodeString(s); err != nil && len(s) > shown {
		return s[:shown] + "..."
	}
	return s
}

func (c checker) checkTrace(t *Trace) {
	c.checkOneOf("trace.exporter", t.Exporter, TraceNone, TraceStdout, TraceOTLP)
	if t.Exporter == TraceOTLP {
		c.checkURL("trace.endpoint", t.Endpoint)
	} else if t.Endpoint != "" {
		c.Addf("trace.endpoint", "write \"exporter: otlp\" or leave the endpoint out", "the exporter %q has no endpoint", t.Exporter)
	}
	if !(t.Sample > 0 && t.Sample <= 1) {
		c.Addf("trace.sample", "write a share above 0 and up to 1", "%v is not a share", t.Sample)
	}
}

func (c checker) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.Addf(path, "write one of "+strings.Join(allowed, ", "), "%q is not known", value)
	}
}

func (c checker) checkTiming(t *Timing) {
	c.checkRange("timing.drain_notice", t.DrainNotice, 0, 5*time.Minute)
	c.checkRange("timing.header_timeout", t.HeaderTimeout, 100*time.Millisecond, 5*time.Minute)
	c.checkRange("timing.idle_timeout", t.IdleTimeout, time.Second, time.Hour)
	c.checkRange("timing.platform_timeout", t.PlatformTimeout, 50*time.Millisecond, time.Minute)
	c.checkRange("timing.revision_poll", t.RevisionPoll, 100*time.Millisecond, 10*time.Minute)
}

func (c checker) checkRange(path string, d config.Duration, minimum, maximum time.Duration) {
	if v := time.Duration(d); v < minimum || v > maximum {
		c.Addf(path, fmt.Sprintf("write a duration from %s to %s", minimum, maximum), "%s is out of range", v)
	}
}
