package main

import (
	"context"
	"errors"
	"os"

	"github.com/integrii/flaggy"

	"chervilloom/internal/clock"
	"chervilloom/internal/node"
	"chervilloom/internal/settings"
	"chervilloom/internal/telemetry"
)

func newServe() command {
	var file string
	sub := flaggy.NewSubcommand("serve")
	sub.Description = "run a node. Example: chervilloom serve --settings /etc/chervilloom/node.yaml"
	sub.String(&file, "s", "settings", "node settings, YAML")
	return command{sub, func(ctx context.Context) error {
		if file == "" {
			return &exitError{exitUsage, errors.New("no settings given: add --settings FILE")}
		}
		set, err := settings.Load(file)
		if err != nil {
			return err
		}
		return serve(ctx, set)
	}}
}

func serve(ctx context.Context, set *settings.Settings) error {
	tel, err := telemetry.New(ctx, telemetryOptions(set))
	if err != nil {
		return err
	}
	n, err := node.New(node.Options{Settings: set, Log: tel.Log, Registry: tel.Registry, Clock: clock.Boot{}})
	if err != nil {
		return err
	}
	return errors.Join(n.Run(ctx), tel.Shutdown(context.WithoutCancel(ctx)))
}

func telemetryOptions(set *settings.Settings) telemetry.Options {
	return telemetry.Options{
		VM: string(set.VM), Zone: string(set.Zone),
		LogLevel: set.Log.SlogLevel(), LogJSON: set.Log.Format == settings.LogJSON, LogTo: os.Stderr,
		Exporter: telemetry.Exporter(set.Trace.Exporter), OTLPEndpoint: set.Trace.Endpoint,
		SpansTo: os.Stdout, SampleRatio: set.Trace.Sample,
	}
}
