// Command chervilloom contains the node that runs on every entry VM, the
// operators' commands, the load tool, and a demo with stand-ins for the external
// systems.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// version is set at link time: -ldflags "-X main.version=1.2.3".
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed, or the checked file is invalid
	exitUsage    = 2 // the command line is invalid
	exitConflict = 3 // another revision was accepted first
	exitUnknown  = 4 // the change may have taken effect; check before retrying
)

// exitError is an error with an exit code other than exitFailed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// command is a subcommand and the function that executes it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	parser := flaggy.NewParser("chervilloom")
	parser.Description = "serves models that span several VMs; see README.md"
	parser.Version = version
	commands := []command{
		newServe(), newEntry(), newCheck(), newStatus(), newExplain(), newDrain(),
		newConfigGet(), newConfigApply(), newConfigHistory(),
		newDemo(), newLoad(), newStandin(), newVersion(),
	}
	attachCommands(parser, commands)
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	os.Exit(runUsedCommand(parser, commands))
}

// attachCommands adds the commands to the parser. Those for configuration documents
// become subcommands of "config".
func attachCommands(parser *flaggy.Parser, commands []command) {
	config := flaggy.NewSubcommand("config")
	config.Description = "get, apply or list configuration documents"
	for _, c := range commands {
		if isConfigCommand(c.sub.Name) {
			config.AttachSubcommand(c.sub, 1)
			continue
		}
		parser.AttachSubcommand(c.sub, 1)
	}
	parser.AttachSubcommand(config, 1)
}

func isConfigCommand(name string) bool {
	return name == "get" || name == "apply" || name == "history"
}

func runUsedCommand(parser *flaggy.Parser, commands []command) int {
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		// The first signal cancels ctx for a graceful shutdown. Notification then
		// stops, so a second signal terminates the process.
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		context.AfterFunc(ctx, stop)
		defer stop()
		return exitCode(c.run(ctx))
	}
	parser.ShowHelp()
	return exitUsage
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func newVersion() command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	return command{sub, func(context.Context) error {
		fmt.Println(version)
		return nil
	}}
}
