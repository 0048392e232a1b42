// Command chervilloom is the whole system in one binary: the node that runs on
// every entry VM, the operators' commands, the load tool, and a demonstration
// with stand-ins for the outside systems.
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

// version is set by the linker: -ldflags "-X main.version=1.2.3".
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command failed, or what it checked is wrong
	exitUsage    = 2 // the command line is wrong
	exitConflict = 3 // another operator was first
	exitUnknown  = 4 // whether it took effect is not known; look before trying again
)

// exitError carries an exit code other than exitFailed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// command is one subcommand with what it runs.
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
	attach(parser, commands)
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	os.Exit(run(parser, commands))
}

// attach puts the commands under the parser; those of the configuration
// document go one level down.
func attach(parser *flaggy.Parser, commands []command) {
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

func run(parser *flaggy.Parser, commands []command) int {
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		// The first signal asks for a graceful end; a second one kills as usual.
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
