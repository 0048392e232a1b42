package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/entry"
	"chervilloom/internal/formation"
	"chervilloom/internal/telemetry"
	"chervilloom/platform"
)

func newEntry() command {
	file := platform.SettingsPath()
	verbose := false
	metricsPort := 0
	contention := string(entry.ContentionAuto)
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "run a node on the users' platform. Example: chervilloom entry --settings local.conf"
	sub.String(&file, "s", "settings", "the platform's settings file; default: the path from the environment")
	sub.Bool(&verbose, "v", "verbose", "log each attempt of each request")
	sub.Int(&metricsPort, "m", "metrics", "port on the clients' address that serves metrics under /metrics; 0: none")
	sub.String(&contention, "c", "contention", "services with engines for which rank and expected time decide: auto (routes of unlike rank), on (all) or off")
	return command{sub, func(ctx context.Context) error {
		if file == "" {
			return &exitError{exitUsage, errors.New("no settings given: add --settings FILE")}
		}
		mode, err := entry.ParseContention(contention)
		if err != nil {
			return &exitError{exitUsage, err}
		}
		return runEntry(ctx, file, verbose, metricsPort, mode)
	}}
}

func runEntry(ctx context.Context, file string, verbose bool, metricsPort int, contention entry.Contention) error {
	set, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	out := telemetry.NewBounded(os.Stdout)
	stop := make(chan struct{})
	written := make(chan struct{})
	go func() { out.Run(stop); close(written) }()
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})).With("vm", set.VM)
	defer func() { close(stop); <-written }()

	go reloadOnHangup(ctx, file, log)
	n := entry.New(entry.Options{
		Settings: set, Store: platform.NewStore(set.Store), NewEngines: newEngines,
		Codec: platform.Codec{}, Clock: clock.Boot{}, Log: log,
		Registry: prometheus.NewRegistry(), MetricsPort: metricsPort, Contention: contention,
	})
	err = n.Run(ctx)
	log.Info("node stops", "err", err)
	return err
}

// newEngines returns the client of the engines' control API.
func newEngines(dial func(ctx context.Context, network, addr string) (net.Conn, error)) formation.Engines {
	return platform.NewEngines(dial)
}

// reloadOnHangup validates the settings file on SIGHUP and logs the result. The
// process keeps the addresses and bounds that it read at its start, so a changed
// file interrupts no request.
func reloadOnHangup(ctx context.Context, file string, log *slog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			_, err := platform.ReadSettings(file)
			log.Info("settings file read on SIGHUP; changes take effect at the next start", "err", err)
		}
	}
}
