// Package settings reads the static settings of a node: its identity, its
// listeners, and how to reach the platform and its peers. They are read once at
// startup; the configuration that operators change at run time is in package
// config.
package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/yamlcheck"
)

// Settings are the settings of one node.
type Settings struct {
	VM          fleet.VM               `yaml:"vm"`
	Zone        fleet.AvailabilityZone `yaml:"availability_zone"`
	IP          netip.Addr             `yaml:"ip"` // address of the node for peers and the platform
	Listen      Listen                 `yaml:"listen"`
	Platform    Platform               `yaml:"platform"`
	Seeds       []netip.AddrPort       `yaml:"seeds"` // peer addresses to use when the platform is down; optional
	Peer        Peer                   `yaml:"peer"`
	CallerTLS   TLS                    `yaml:"caller_tls"`   // optional: plain HTTP without it
	OperatorTLS TLS                    `yaml:"operator_tls"` // optional: plain HTTP without it
	Operators   []Operator             `yaml:"operators"`
	Trace       Trace                  `yaml:"trace"`
	Log         Log                    `yaml:"log"`
	BodyLimit   ByteSize               `yaml:"body_limit"` // largest request body, up to MaxBodyLimit; default 4MiB
	Timing      Timing                 `yaml:"timing"`
}

// Listen contains the addresses of the listeners. With port 0 the kernel
// chooses the port.
type Listen struct {
	Caller   netip.AddrPort `yaml:"caller"`   // TCP, HTTP
	Operator netip.AddrPort `yaml:"operator"` // TCP, HTTP: console, operator API, metrics
	Peer     netip.AddrPort `yaml:"peer"`     // UDP, QUIC
}

// Platform locates the platform's service.
type Platform struct {
	URL string `yaml:"url"` // http or https, with an IP address as host
}

// Peer contains the credentials that nodes use among each other: one secret per
// deployment, from which their identities are derived unless certificate files
// are given. The secret also authenticates tickets and operators' sessions in
// either case.
type Peer struct {
	Secret     string `yaml:"secret"`
	SecretFile string `yaml:"secret_file"`
	CertFile   string `yaml:"cert_file"`
	KeyFile    string `yaml:"key_file"`
	CAFile     string `yaml:"ca_file"`
	// Advertise is the address of the peer listener for other nodes, if it
	// differs from the address that it listens on, as behind NAT.
	Advertise netip.AddrPort `yaml:"advertise"`
}

// TLS contains the certificate of a listener; empty files mean plain HTTP.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Operator is a user of the console and the operator API.
type Operator struct {
	Name      string `yaml:"name"`
	TokenHash string `yaml:"token_hash"` // hex SHA-256 of the bearer token
}

// Trace exporters.
const (
	TraceNone   = "none"
	TraceStdout = "stdout"
	TraceOTLP   = "otlp"
)

// Trace configures the export of spans.
type Trace struct {
	Exporter string  `yaml:"exporter"` // none (default), stdout, otlp
	Endpoint string  `yaml:"endpoint"` // http URL of the collector; otlp only
	Sample   float64 `yaml:"sample"`   // share of requests traced, above 0 to 1; default 1
}

// Log formats.
const (
	LogText = "text"
	LogJSON = "json"
)

// Log configures the logging of the node.
type Log struct {
	Level  string `yaml:"level"`  // debug, info (default), warn, error
	Format string `yaml:"format"` // text (default), json
}

// SlogLevel returns the level as a slog.Level.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo // unreachable after Parse
	}
	return level
}

// Timing contains the intervals and timeouts of the node. Zero values mean the
// defaults.
type Timing struct {
	// DrainNotice is how long readiness fails before the listener closes, so
	// that the load balancer has removed the node by then; default 3s.
	DrainNotice config.Duration `yaml:"drain_notice"`
	// HeaderTimeout is the timeout for reading a caller's headers; default 10s.
	HeaderTimeout config.Duration `yaml:"header_timeout"`
	// IdleTimeout is how long an idle caller connection is kept open; default
	// 2m.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// PlatformTimeout is the timeout of one call to the platform; default 2s.
	PlatformTimeout config.Duration `yaml:"platform_timeout"`
	// RevisionPoll is the minimum interval between two reads of the newest
	// revision in the table; default 5s.
	RevisionPoll config.Duration `yaml:"revision_poll"`
}

// MaxBodyLimit is the maximum size of a body that nodes forward to each other,
// in bytes.
const MaxBodyLimit = 64 << 20

// Default values.
const (
	DefaultBodyLimit       = 4 << 20
	DefaultDrainNotice     = 3 * time.Second
	DefaultHeaderTimeout   = 10 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
	DefaultPlatformTimeout = 2 * time.Second
	DefaultRevisionPoll    = 5 * time.Second
)

// Load reads and validates the settings file at path and checks that the files
// named in it are readable. The error is yamlcheck.Problems, unless the
// settings file itself cannot be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cannot read settings: %w; name a readable file", err)
	}
	return parse(path, data, checkFileReadable)
}

// Parse decodes and validates settings. name is the file name used in problems.
// The error is yamlcheck.Problems. The files named in the settings are not
// opened.
func Parse(name string, data []byte) (*Settings, error) {
	return parse(name, data, func(string) error { return nil })
}

func parse(name string, data []byte, checkFileReadable func(string) error) (*Settings, error) {
	s := &Settings{}
	source, problems := yamlcheck.Decode(name, data, s)
	c := yamlcheck.NewChecker(source, problems)
	s.setDefaults()
	s.validate(c, checkFileReadable)
	if err := c.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkFileReadable(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return f.Close()
}

func (s *Settings) setDefaults() {
	setDefault(&s.BodyLimit, DefaultBodyLimit)
	setDefault(&s.Trace.Exporter, TraceNone)
	setDefault(&s.Trace.Sample, 1)
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Log.Format, LogText)
	t := &s.Timing
	setDefault(&t.DrainNotice, config.Duration(DefaultDrainNotice))
	setDefault(&t.HeaderTimeout, config.Duration(DefaultHeaderTimeout))
	setDefault(&t.IdleTimeout, config.Duration(DefaultIdleTimeout))
	setDefault(&t.PlatformTimeout, config.Duration(DefaultPlatformTimeout))
	setDefault(&t.RevisionPoll, config.Duration(DefaultRevisionPoll))
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// PeerSecret returns the deployment's secret without leading and trailing white
// space.
func (s *Settings) PeerSecret() ([]byte, error) {
	secret := s.Peer.Secret
	if s.Peer.SecretFile != "" {
		data, err := os.ReadFile(s.Peer.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("cannot read the peer secret: %w; name a readable file in peer.secret_file", err)
		}
		secret = string(data)
		if err := checkSecret(secret); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Peer.SecretFile, err)
		}
	}
	return []byte(strings.TrimSpace(secret)), nil
}

// minSecretLength is the minimum length of a secret in bytes: 32 random
// hexadecimal digits have 128 bits.
const minSecretLength = 32

func checkSecret(secret string) error {
	if n := len(strings.TrimSpace(secret)); n < minSecretLength {
		return fmt.Errorf("the secret has %d characters; write at least %d random ones", n, minSecretLength)
	}
	return nil
}
