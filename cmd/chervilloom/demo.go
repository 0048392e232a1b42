package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"chervilloom/internal/demo"
)

// demoStartTimeout limits how long the demo fleet may take to become ready.
const demoStartTimeout = time.Minute

func newDemo() command {
	var smoke, verbose bool
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "run a small fleet with stand-ins in one process. Example: chervilloom demo --smoke"
	sub.Bool(&smoke, "", "smoke", "send one request of each kind, print the answers and exit")
	sub.Bool(&verbose, "v", "verbose", "show the nodes' logs")
	return command{sub, func(ctx context.Context) error { return runDemo(ctx, smoke, verbose) }}
}

func runDemo(ctx context.Context, smoke, verbose bool) error {
	level := slog.LevelError
	if verbose {
		level = slog.LevelInfo
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	f, err := demo.Start(startCtx, log)
	if err != nil {
		return err
	}
	if smoke {
		return errors.Join(printSmokeAnswers(f.RunSmokeTest(ctx)), f.Close())
	}
	printAddressesAndExamples(f)
	<-ctx.Done()
	return f.Close()
}

func printSmokeAnswers(answers []demo.SmokeResult) error {
	var failed error
	for _, a := range answers {
		fmt.Printf("%-15s %d  outcome=%s  %s\n", a.Name, a.Status, a.Outcome, a.Text)
		if a.Err != nil {
			failed = errors.Join(failed, merry.Errorf("%s: %w", a.Name, a.Err))
		}
	}
	return failed
}

func printAddressesAndExamples(f *demo.Fleet) {
	fmt.Printf("platform (stand-in)  http://%s\n", f.Platform.Addr)
	for _, n := range f.Nodes {
		a := n.Addrs()
		fmt.Printf("%-20s callers http://%s   operators http://%s\n", n.Self().VM, a.Caller, a.Operator)
	}
	a := f.Nodes[0].Addrs()
	fmt.Printf(`
A streamed chat:
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"clerk","stream":true,"messages":[{"role":"user","content":"hello"}]}'
The console (operator token %s):
  http://%s/console/
The node's view of the fleet:
  %s=%s go run ./cmd/chervilloom status --node http://%s
Stop with Ctrl-C.
`, a.Caller, demo.CallerKey, demo.OperatorToken, a.Operator, envToken, demo.OperatorToken, a.Operator)
}
