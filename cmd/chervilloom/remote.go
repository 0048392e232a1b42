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

// Environment variables that stand for flags.
const (
	envNode  = "CHERVILLOOM_NODE"
	envToken = "CHERVILLOOM_TOKEN"
)

// remote holds the flags of a command that asks a node.
type remote struct {
	node   string
	token  string
	output string
}

func (r *remote) addFlags(sub *flaggy.Subcommand) {
	r.node, r.output = os.Getenv(envNode), "text"
	sub.String(&r.node, "n", "node", "operator address of any node, http://IP:PORT (or "+envNode+")")
	sub.String(&r.token, "t", "token-file", "file with the operator's token (or the token in "+envToken+")")
	sub.String(&r.output, "o", "output", "text or json")
}

func (r *remote) client() (*operator.Client, error) {
	if r.node == "" {
		return nil, &exitError{exitUsage, errors.New("no node given: add --node http://IP:PORT or set " + envNode)}
	}
	token := os.Getenv(envToken)
	if r.token != "" {
		b, err := os.ReadFile(r.token)
		if err != nil {
			return nil, merry.Errorf("the token file cannot be read, give one with --token-file: %w", err)
		}
		token = strings.TrimSpace(string(b))
	}
	return operator.NewClient(r.node, token), nil
}

// print writes v as JSON, or as text by the given function.
func (r *remote) print(v any, text func()) error {
	switch r.output {
	case "json":
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "text":
		text()
		return nil
	}
	return &exitError{exitUsage, merry.Errorf("output %q is not known: write text or json", r.output)}
}

func newStatus() command {
	var r remote
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show groups, endpoints, nodes and duties as one node believes them. Example: chervilloom status --node http://10.0.0.5:8081"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.client()
		if err != nil {
			return err
		}
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return r.print(s, func() { operator.WriteStatus(os.Stdout, s) })
	}}
}

func newExplain() command {
	var r remote
	var id, logs string
	var losses bool
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "show what was decided about a request, a group, a duty or a VM, and why. Example: chervilloom explain 3f2a..."
	r.addFlags(sub)
	sub.Bool(&losses, "", "losses", "with --logs: a table of lost and late requests by window of 2 s, reason, route and zone")
	sub.AddPositionalValue(&id, "ID", 1, false, "request id (header Chervilloom-Request), group id, duty or VM")
	sub.String(&logs, "l", "logs", "folder with the collected logs of all entry nodes: explain a request from them instead of asking a node")
	return command{sub, func(ctx context.Context) error {
		if losses {
			return explainLosses(logs)
		}
		if id == "" {
			return merry.New("no id is named: give one, or --logs DIR --losses for a table of what was lost")
		}
		if logs != "" {
			return explainFromLogs(logs, id)
		}
		c, err := r.client()
		if err != nil {
			return err
		}
		e, err := c.Explain(ctx, id)
		if err != nil {
			return err
		}
		if len(e.Steps) == 0 {
			return merry.Errorf("no node that answered remembers %q: it may be older than the nodes' memory; not asked: %v", id, e.Unreached)
		}
		return r.print(e, func() { operator.WriteExplanation(os.Stdout, e) })
	}}
}

func explainFromLogs(dir, id string) error {
	lines, err := logwalk.ReadDir(dir)
	if err != nil {
		return merry.Prepend(err, "the logs cannot be read; give the folder with --logs DIR")
	}
	ex := logwalk.Walk(lines, id)
	if len(ex.Own) == 0 {
		return merry.Errorf("no line of %d names request %q: check the id, and that the logs of all nodes are there", len(lines), id)
	}
	return ex.Print(os.Stdout)
}

// lossWindow is the length of the windows of the table of losses.
const lossWindow = 2 * time.Second

func explainLosses(dir string) error {
	if dir == "" {
		return merry.New("--losses reads collected logs: give their folder with --logs DIR")
	}
	lines, err := logwalk.ReadDir(dir)
	if err != nil {
		return merry.Prepend(err, "the logs cannot be read; give the folder with --logs DIR")
	}
	return logwalk.PrintLosses(os.Stdout, logwalk.Losses(lines, lossWindow))
}

func newDrain() command {
	var r remote
	var vm string
	sub := flaggy.NewSubcommand("drain")
	sub.Description = "give an endpoint no new request; those in progress end. Example: chervilloom drain engine-7"
	r.addFlags(sub)
	sub.AddPositionalValue(&vm, "ENDPOINT", 1, true, "VM id of the endpoint")
	return command{sub, func(ctx context.Context) error {
		c, err := r.client()
		if err != nil {
			return err
		}
		return c.Drain(ctx, operator.DrainRequest{VM: fleet.VM(vm)})
	}}
}

func newConfigGet() command {
	var r remote
	sub := flaggy.NewSubcommand("get")
	sub.Description = "print the document in force. Example: chervilloom config get > fleet.yaml"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.client()
		if err != nil {
			return err
		}
		v, err := c.Config(ctx)
		if err != nil {
			return err
		}
		return r.print(v, func() {
			fmt.Fprintf(os.Stderr, "revision %d\n", v.Revision)
			fmt.Print(v.Document)
		})
	}}
}

func newConfigApply() command {
	var r remote
	var file string
	var base uint64
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "accept a document edited from revision --base. Example: chervilloom config apply --base 12 fleet.yaml"
	r.addFlags(sub)
	sub.UInt64(&base, "b", "base", "revision that the document was edited from")
	sub.AddPositionalValue(&file, "FILE", 1, true, "the document")
	return command{sub, func(ctx context.Context) error {
		c, err := r.client()
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
		if err := r.print(res, func() { operator.WriteApply(os.Stdout, res) }); err != nil {
			return err
		}
		return applyError(res)
	}}
}

func applyError(res operator.ApplyResult) error {
	switch res.State {
	case operator.ApplyAccepted:
		return nil
	case operator.ApplyConflict:
		return &exitError{exitConflict, merry.Errorf("not accepted: revision %d came first; get it, make the change again and apply with --base %d", res.Revision, res.Revision)}
	case operator.ApplyUnknown:
		return &exitError{exitUnknown, errors.New("not known whether it was accepted: look at the history before trying again")}
	}
	return merry.Errorf("not accepted: %s", res.Message)
}

func newConfigHistory() command {
	var r remote
	sub := flaggy.NewSubcommand("history")
	sub.Description = "list accepted revisions, newest first"
	r.addFlags(sub)
	return command{sub, func(ctx context.Context) error {
		c, err := r.client()
		if err != nil {
			return err
		}
		h, err := c.History(ctx)
		if err != nil {
			return err
		}
		return r.print(h, func() { operator.WriteHistory(os.Stdout, h) })
	}}
}
