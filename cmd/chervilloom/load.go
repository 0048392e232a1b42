package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"chervilloom/internal/load"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	plan    string
	targets []string
	output  string
	svg     string
}

func newLoad() command {
	f := loadFlags{output: "text"}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send a bounded open-loop load to entry nodes on loopback and report latencies and outcomes. Example: chervilloom load --plan mix.yaml --target 127.0.0.1:8080"
	sub.String(&f.plan, "p", "plan", "load plan, YAML")
	sub.StringSlice(&f.targets, "a", "target", "caller address of an entry node, ip:port; may be repeated")
	sub.String(&f.output, "o", "output", "text or json")
	sub.String(&f.svg, "", "svg", "output file for an SVG plot")
	return command{sub, func(ctx context.Context) error { return runLoad(ctx, f) }}
}

func runLoad(ctx context.Context, f loadFlags) error {
	if f.plan == "" || len(f.targets) == 0 {
		return &exitError{exitUsage, errors.New("load requires --plan FILE and at least one --target IP:PORT")}
	}
	data, err := os.ReadFile(f.plan)
	if err != nil {
		return err
	}
	plan, err := load.ReadPlan(f.plan, data)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, load.Options{Plan: plan, Targets: f.targets})
	if err != nil {
		return err
	}
	return writeReport(report, f)
}

func writeReport(report *load.Report, f loadFlags) error {
	if f.svg != "" {
		if err := writeFile(f.svg, report.WriteSVG); err != nil {
			return err
		}
	}
	switch f.output {
	case "json":
		return report.WriteJSON(os.Stdout)
	case "text":
		return report.WriteTable(os.Stdout)
	}
	return &exitError{exitUsage, merry.Errorf("unknown output format %q: use text or json", f.output)}
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
