// Package settings reads a node's own static settings: who it is, where it
// listens, how it reaches the platform and its peers. They are read once, at
// the start; what operators change while the system runs is in package config.
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
	IP          netip.Addr             `yaml:"ip"` // that peers and the platform know the node by
	Listen      Listen                 `yaml:"listen"`
	Platform    Platform               `yaml:"platform"`
	Seeds       []netip.AddrPort       `yaml:"seeds"` // peer addresses to try when the platform is down; optional
	Peer        Peer                   `yaml:"peer"`
	CallerTLS   TLS                    `yaml:"caller_tls"`   // optional: plain HTTP without it
	OperatorTLS TLS                    `yaml:"operator_tls"` // optional: plain HTTP without it
	Operators   []Operator             `yaml:"operators"`
	Trace       Trace                  `yaml:"trace"`
	Log         Log                    `yaml:"log"`
	BodyLimit   ByteSize               `yaml:"body_limit"` // largest request body, up to MaxBodyLimit; default 4MiB
	Timing      Timing                 `yaml:"timing"`
}

// Listen holds the addresses the node listens on. Port 0 lets the kernel choose.
type Listen struct {
	Caller   netip.AddrPort `yaml:"caller"`   // TCP, HTTP
	Operator netip.AddrPort `yaml:"operator"` // TCP, HTTP: console, operators' calls, metrics
	Peer     netip.AddrPort `yaml:"peer"`     // UDP, QUIC
}

// Platform says where the platform's service is.
type Platform struct {
	URL string `yaml:"url"` // http or https, host by IP number
}

// Peer holds what the nodes know each other by: one secret of the deployment,
// from which their identities are derived unless certificate files are given.
// The secret authenticates tickets and operators' sessions in any case.
type Peer struct {
	Secret     string `yaml:"secret"`
	SecretFile string `yaml:"secret_file"`
	CertFile   string `yaml:"cert_file"`
	KeyFile    string `yaml:"key_file"`
	CAFile     string `yaml:"ca_file"`
	// Advertise is where the other nodes reach the peer listener, when that is
	// not the address it listens on, as behind a translation of addresses.
	Advertise netip.AddrPort `yaml:"advertise"`
}

// TLS names the certificate of a listener; empty files mean plain HTTP.
type TLS struct {
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
}

// Enabled reports whether the listener speaks TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Operator may use the console and the operators' calls.
type Operator struct {
	Name      string `yaml:"name"`
	TokenHash string `yaml:"token_hash"` // hex SHA-256 of the bearer token
}

// The trace exporters.
const (
	TraceNone   = "none"
	TraceStdout = "stdout"
	TraceOTLP   = "otlp"
)

// Trace says where spans go.
type Trace struct {
	Exporter string  `yaml:"exporter"` // none (default), stdout, otlp
	Endpoint string  `yaml:"endpoint"` // http URL of the collector; otlp only
	Sample   float64 `yaml:"sample"`   // share of requests traced, above 0 to 1; default 1
}

// The log formats.
const (
	LogText = "text"
	LogJSON = "json"
)

// Log says how the node logs.
type Log struct {
	Level  string `yaml:"level"`  // debug, info (default), warn, error
	Format string `yaml:"format"` // text (default), json
}

// SlogLevel returns the level for log/slog.
func (l Log) SlogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo // checked by Parse
	}
	return level
}

// Timing holds the durations of the node; a zero one stands for its default.
type Timing struct {
	// DrainNotice is how long readiness fails before the listener closes, so
	// that the balancer has taken the node out by then; default 3s.
	DrainNotice config.Duration `yaml:"drain_notice"`
	// HeaderTimeout is how long a caller may take to send its headers; default 10s.
	HeaderTimeout config.Duration `yaml:"header_timeout"`
	// IdleTimeout is how long an idle caller connection is kept; default 2m.
	IdleTimeout config.Duration `yaml:"idle_timeout"`
	// PlatformTimeout ends one call to the platform; default 2s.
	PlatformTimeout config.Duration `yaml:"platform_timeout"`
	// RevisionPoll is the shortest time between two looks at the newest
	// revision in the table; default 5s.
	RevisionPoll config.Duration `yaml:"revision_poll"`
}

// MaxBodyLimit is the largest body that nodes pass on to each other.
const MaxBodyLimit = 64 << 20

// The defaults.
const (
	DefaultBodyLimit       = 4 << 20
	DefaultDrainNotice     = 3 * time.Second
	DefaultHeaderTimeout   = 10 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
	DefaultPlatformTimeout = 2 * time.Second
	DefaultRevisionPoll    = 5 * time.Second
)

// Load reads and checks the settings in the file at path, and that the files
// they name can be read. The error is yamlcheck.Problems unless the file
// itself cannot be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings cannot be read: %w; name a readable file", err)
	}
	return parse(path, data, fileReadable)
}

// Parse checks settings. name stands for the file in the problems. The error
// is yamlcheck.Problems. Files that the settings name are not looked at.
func Parse(name string, data []byte) (*Settings, error) {
	return parse(name, data, func(string) error { return nil })
}

func parse(name string, data []byte, readable func(string) error) (*Settings, error) {
	s := &Settings{}
	source, problems := yamlcheck.Decode(name, data, s)
	c := yamlcheck.NewChecker(source, problems)
	s.setDefaults()
	s.check(c, readable)
	if err := c.Problems().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func fileReadable(path string) error {
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

// PeerSecret returns the deployment's secret. White space around it is no part
// of it.
func (s *Settings) PeerSecret() ([]byte, error) {
	secret := s.Peer.Secret
	if s.Peer.SecretFile != "" {
		data, err := os.ReadFile(s.Peer.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("the peer secret cannot be read: %w; name a readable file in peer.secret_file", err)
		}
		secret = string(data)
		if err := checkSecret(secret); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Peer.SecretFile, err)
		}
	}
	return []byte(strings.TrimSpace(secret)), nil
}

// minSecret is the fewest bytes a secret may have: 32 random hexadecimal
// digits are 128 bits.
const minSecret = 32

func checkSecret(secret string) error {
	if n := len(strings.TrimSpace(secret)); n < minSecret {
		return fmt.Errorf("the secret has %d characters; write at least %d random ones", n, minSecret)
	}
	return nil
}
