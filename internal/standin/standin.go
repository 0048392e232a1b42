// Package standin runs the small stand-ins that take the place of the platform,
// the engines and the plain services in tests and demonstrations, each as an
// HTTP server of its own.
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

// Kind names a kind of stand-in.
type Kind string

// The kinds.
const (
	KindPlatform Kind = "platform"
	KindEngine   Kind = "engine"
	KindService  Kind = "service"
)

const (
	shutdownTime = 2 * time.Second
	registerWait = 200 * time.Millisecond
)

// PlatformSettings are the settings of a stand-in platform.
type PlatformSettings struct {
	platform.Options `yaml:",inline"`
}

// EngineSettings are the settings of a stand-in engine.
type EngineSettings struct {
	engine.Options `yaml:",inline"`
	// Platform is the URL of a stand-in platform to register at and to keep KV
	// objects in; empty: none.
	Platform string `yaml:"platform"`
}

// ServiceSettings are the settings of a stand-in service.
type ServiceSettings struct {
	service.Options `yaml:",inline"`
	// Platform is the URL of a stand-in platform to register at; empty: none.
	Platform string `yaml:"platform"`
}

// Server is a stand-in that listens.
type Server struct {
	Addr   string // ip:port
	server *http.Server
	done   chan error
	close  func() // ends the handler's goroutines
}

// closer is a handler with goroutines of its own.
type closer interface{ Close() }

// Start serves h at listen, an ip:port where port 0 stands for any. Closing the
// server closes a handler that can be closed.
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

// Close breaks all connections and waits until the server has ended.
func (s *Server) Close() error {
	err := s.server.Close()
	if served := <-s.done; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	s.close()
	return err
}

// Run runs a stand-in of the kind until ctx ends. Its settings are strict YAML;
// empty settings stand for the defaults. Once it listens (and is registered at
// its platform, if it has one), it writes "listening ADDR" to out.
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

// registration puts a stand-in on its platform's list of VMs.
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
		closeClient() // after the engine, which moves KV state through it
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
		return fmt.Errorf("stand-in settings: %w", err)
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
