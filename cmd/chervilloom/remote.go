package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"chervilloom/internal/fleet"
	"chervilloom/internal/logwalk"
	"chervilloom/internal/operator"
)

// Environment variables used when the corresponding flag is not set.
const (
	envNode  = "CHERVILLOOM_NODE"
	envToken = "CHERVILLOOM_TOKEN"
)

// remoteFlags holds the flags of a command that sends requests to a node.
type remoteFlags struct {
	nodeURL   string
	tokenFile string
	output    string
}

func (r *remoteFlags) addFlags(sub *flaggy.Subcommand) {
	r.nodeURL, r.output = os.Getenv(envNode), "text"
	sub.String(&r.nodeURL, "n", "node", "operator address of any node, http://IP:PORT (or "+envNode+")")
	sub.String(&r.tokenFile, "t", "token-file", "file with the operator's token (or the token itself in "+envToken+")")
	sub.String(&r.output, "o", "output", "text or json")
}

// newClient returns an operator client for the node. The token file takes precedence
// over the environment.
func (r *remoteFlags) newClient() (*operator.Client, error) {
	if r.nodeURL == "" {
		return nil, &exitError{exitUsage, errors.New("no node given: add --node http://IP:PORT or set " + envNode)}
	}
	token := os.Getenv(envToken)
	if r.tokenFile != "" {
		b, err := os.ReadFile(r.tokenFile)
		if err != nil {
			return nil, merry.Errorf("cannot read the token file, give one with --token-file: %w", err)
		}
		token = strings.TrimSpace(string(b))
	}
	return operator.NewClient(r.nodeURL, token), nil
}

// printResult writes v to standard output as JSON, or calls text for the text format.
func (r *remoteFlags) printResult(v any, text func()) error {
	switch r.output {
	case "json":
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "text":
		text()
		return nil
	}
	return &exitError{exitUsage, merry.Errorf("unknown output format %q: use text or json", r.output)}
}

func newStatus() command {
	var r remoteFlags
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show groups, endpoints, nodes and duties as known to one node. Example: chervilloom status --node http://10.0.0.5:8081"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return r.printResult(s, func() { operator.WriteStatus(os.Stdout, s) })
	}}
}

func newExplain() command {
	var r remoteFlags
	var id, logs string
	var losses bool
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "show the decisions about a request, a group, a duty or a VM and their reasons. Example: chervilloom explain 3f2a..."
	r.addFlags(sub)
	sub.Bool(&losses, "", "losses", "with --logs: print a table of lost and late requests by 2 s window, reason, route and zone")
	sub.AddPositionalValue(&id, "ID", 1, false, "request id (header Chervilloom-Request), group id, duty or VM")
	sub.String(&logs, "l", "logs", "directory with the collected logs of all entry nodes: explain the request from these logs instead of querying a node")
	return command{sub, func(ctx context.Context) error {
		if losses {
			return explainLosses(logs)
		}
		if id == "" {
			return merry.New("no ID given: add one, or use --logs DIR --losses for a table of lost requests")
		}
		if logs != "" {
			return explainFromLogs(logs, id)
		}
		c, err := r.newClient()
		if err != nil {
			return err
		}
		e, err := c.Explain(ctx, id)
		if err != nil {
			return err
		}
		if len(e.Steps) == 0 {
			return merry.Errorf("no node has a record of %q: it may have been evicted; nodes that did not answer: %v", id, e.Unreached)
		}
		return r.printResult(e, func() { operator.WriteExplanation(os.Stdout, e) })
	}}
}

func explainFromLogs(dir, id string) error {
	lines, err := logwalk.ReadDir(dir)
	if err != nil {
		return merry.Prepend(err, "cannot read the logs; give their directory with --logs DIR")
	}
	ex := logwalk.ExplainRequest(lines, id)
	if len(ex.OwnLines) == 0 {
		return merry.Errorf("none of %d log lines names request %q: check the ID, and that the directory has the logs of all nodes", len(lines), id)
	}
	return ex.Print(os.Stdout)
}

// lossWindow is the window length of the loss table.
const lossWindow = 2 * time.Second

func explainLosses(dir string) error {
	if dir == "" {
		return merry.New("--losses reads collected logs: give their directory with --logs DIR")
	}
	lines, err := logwalk.ReadDir(dir)
	if err != nil {
		return merry.Prepend(err, "cannot read the logs; give their directory with --logs DIR")
	}
	return logwalk.PrintLosses(os.Stdout, logwalk.CountLosses(lines, lossWindow))
}

func newDrain() command {
	var r remoteFlags
	var vm string
	sub := flaggy.NewSubcommand("drain")
	sub.Description = "stop sending new requests to an endpoint; requests in flight complete. Example: chervilloom drain engine-7"
	r.addFlags(sub)
	sub.AddPositionalValue(&vm, "ENDPOINT", 1, true, "VM id of the endpoint")
	return command{sub, func(ctx context.Context) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		return c.Drain(ctx, operator.DrainRequest{VM: fleet.VM(vm)})
	}}
}

func newConfigGet() command {
	var r remoteFlags
	sub := flaggy.NewSubcommand("get")
	sub.Description = "print the current configuration document. Example: chervilloom config get > fleet.yaml"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		v, err := c.Config(ctx)
		if err != nil {
			return err
		}
		return r.printResult(v, func() {
			fmt.Fprintf(os.Stderr, "revision %d\n", v.Revision)
			fmt.Print(v.Document)
		})
	}}
}

func newConfigApply() command {
	var r remoteFlags
	var file string
	var base uint64
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "submit a document edited from revision --base. Example: chervilloom config apply --base 12 fleet.yaml"
	r.addFlags(sub)
	sub.UInt64(&base, "b", "base", "revision that the edit is based on")
	sub.AddPositionalValue(&file, "FILE", 1, true, "configuration document")
	return command{sub, func(ctx context.Context) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		doc, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		res, err := c.Apply(ctx, operator.ApplyRequest{Base: base, Document: string(doc)})
		if err != nil {
			return err
		}
		if err := r.printResult(res, func() { operator.WriteApply(os.Stdout, res) }); err != nil {
			return err
		}
		return applyError(res)
	}}
}

// applyError returns nil if the document was accepted; otherwise the error has
// the exit code for the result.
func applyError(res operator.ApplyResult) error {
	switch res.State {
	case operator.ApplyAccepted:
		return nil
	case operator.ApplyConflict:
		return &exitError{exitConflict, merry.Errorf("not accepted: revision %d was accepted first; get it, repeat the change and apply with --base %d", res.Revision, res.Revision)}
	case operator.ApplyUnknown:
		return &exitError{exitUnknown, errors.New("unknown whether the document was accepted: check the history before retrying")}
	}
	return merry.Errorf("not accepted: %s", res.Message)
}

func newConfigHistory() command {
	var r remoteFlags
	sub := flaggy.NewSubcommand("history")
	sub.Description = "list accepted revisions, newest first"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		h, err := c.History(ctx)
		if err != nil {
			return err
		}
		return r.printResult(h, func() { operator.WriteHistory(os.Stdout, h) })
	}}
}
