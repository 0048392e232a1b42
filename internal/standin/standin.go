// Package standin runs the stand-ins that replace the platform, the engines and
// the plain services in tests and demonstrations. Each is its own HTTP server.
package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"

	"chervilloom/internal/fleet"
	"chervilloom/internal/standin/engine"
	"chervilloom/internal/standin/platform"
	"chervilloom/internal/standin/service"

	client "chervilloom/internal/platform"
)

// Kind selects what a stand-in replaces.
type Kind string

// Kinds of stand-in.
const (
	KindPlatform Kind = "platform"
	KindEngine   Kind = "engine"
	KindService  Kind = "service"
)

const (
	registerTimeout       = 2 * time.Second
	registerRetryInterval = 200 * time.Millisecond
)

// PlatformSettings are the settings of a stand-in platform.
type PlatformSettings struct {
	platform.Options `yaml:",inline"`
}

// EngineSettings are the settings of a stand-in engine.
type EngineSettings struct {
	engine.Options `yaml:",inline"`
	// Platform is the URL of the stand-in platform to register at and to store KV
	// objects in. Empty disables both.
	Platform string `yaml:"platform"`
}

// ServiceSettings are the settings of a stand-in service.
type ServiceSettings struct {
	service.Options `yaml:",inline"`
	// Platform is the URL of the stand-in platform to register at. Empty disables
	// registration.
	Platform string `yaml:"platform"`
}

// Server is the running HTTP server of a stand-in.
type Server struct {
	Addr   string // the address it listens on, ip:port
	server *http.Server
	done   chan error // receives the error of Serve
	close  func()     // stops the handler's goroutines
}

// closer is implemented by handlers that run goroutines.
type closer interface{ Close() }

// Start serves h at listen, an ip:port; port 0 selects a free port. Closing the
// server also closes h if it has a Close method.
func Start(listen string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in: listen at %s: %w; choose another address or port 0", listen, err)
	}
	s := &Server{
		Addr:   l.Addr().String(),
		server: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second},
		done:   make(chan error, 1),
		close:  func() {},
	}
	if c, ok := h.(closer); ok {
		s.close = c.Close
	}
	go func() { s.done <- s.server.Serve(l) }()
	return s, nil
}

// Close closes all connections, waits until the server has stopped and then closes
// the handler.
func (s *Server) Close() error {
	err := s.server.Close()
	if serveErr := <-s.done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	s.close()
	return err
}

// Run runs a stand-in of the given kind until ctx is done. The settings are YAML in
// which an unknown field is an error; empty settings select the defaults. Once the
// stand-in listens (and is registered, if a platform is set), Run writes
// "listening ADDR" to out.
func Run(ctx context.Context, kind Kind, listen string, settings []byte, out io.Writer) error {
	s, register, err := start(kind, listen, settings)
	if err != nil {
		return err
	}
	if err := register(ctx); err != nil {
		return errors.Join(err, s.Close())
	}
	if _, err := fmt.Fprintf(out, "listening %s\n", s.Addr); err != nil {
		return errors.Join(err, s.Close())
	}
	select {
	case <-ctx.Done():
		return s.Close()
	case err := <-s.done:
		s.done <- err
		return s.Close()
	}
}

// registration adds a stand-in to its platform's list of VMs.
type registration func(ctx context.Context) error

func start(kind Kind, listen string, settings []byte) (*Server, registration, error) {
	switch kind {
	case KindPlatform:
		return startPlatform(listen, settings)
	case KindEngine:
		return startEngine(listen, settings)
	case KindService:
		return startService(listen, settings)
	default:
		return nil, nil, fmt.Errorf("stand-in: unknown kind %q; use platform, engine or service", kind)
	}
}

func startPlatform(listen string, settings []byte) (*Server, registration, error) {
	var set PlatformSettings
	if err := decode(settings, &set); err != nil {
		return nil, nil, err
	}
	s, err := Start(listen, platform.New(set.Options))
	return s, noRegistration, err
}

func startEngine(listen string, settings []byte) (*Server, registration, error) {
	var set EngineSettings
	if err := decode(settings, &set); err != nil {
		return nil, nil, err
	}
	closeClient := func() {}
	if set.Platform != "" {
		c := client.NewClient(set.Platform)
		set.Objects = c
		closeClient = c.Close
	}
	e := engine.New(set.Options)
	s, err := Start(listen, e)
	if err != nil {
		e.Close()
		return nil, nil, err
	}
	s.close = func() {
		e.Close()
		closeClient() // after the engine, which exports and imports KV state through it
	}
	return s, registrationAt(set.Platform, e.Record(s.Addr)), nil
}

func startService(listen string, settings []byte) (*Server, registration, error) {
	var set ServiceSettings
	if err := decode(settings, &set); err != nil {
		return nil, nil, err
	}
	h := service.New(set.Options)
	s, err := Start(listen, h)
	if err != nil {
		return nil, nil, err
	}
	return s, registrationAt(set.Platform, h.Record(s.Addr)), nil
}

func decode(settings []byte, v any) error {
	if len(settings) == 0 {
		return nil
	}
	if err := yaml.UnmarshalWithOptions(settings, v, yaml.Strict()); err != nil {
		return fmt.Errorf("stand-in: parse the settings: %w", err)
	}
	return nil
}

func noRegistration(context.Context) error { return nil }

func registrationAt(platformURL string, r fleet.Record) registration {
	if platformURL == "" {
		return noRegistration
	}
	return func(ctx context.Context) error { return Register(ctx, platformURL, r) }
}
