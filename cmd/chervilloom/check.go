package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"regexp"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"chervilloom/internal/config"
	"chervilloom/internal/entry"
	"chervilloom/internal/settings"
	"chervilloom/platform"
)

func newCheck() command {
	var file string
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check settings or a configuration document; every error with line and remedy, exit 1. Example: chervilloom check fleet.yaml"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings of a node, the platform's settings file, or a configuration document")
	return command{sub, func(context.Context) error { return check(file) }}
}

// check takes a file for a configuration document unless it has the key that
// only settings have.
func check(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if looksLikePlatformSettings(data) {
		return checkPlatformSettings(file)
	}
	kind, err := "configuration document", error(nil)
	if looksLikeSettings(data) {
		kind = "settings"
		_, err = settings.Load(file)
	} else {
		_, err = config.Parse(file, data)
	}
	if err == nil {
		fmt.Printf("%s: valid %s\n", file, kind)
	}
	return err
}

func looksLikeSettings(data []byte) bool {
	var keys struct {
		Listen any `yaml:"listen"`
		VM     any `yaml:"vm"`
	}
	// Faults are found and told by the strict reading that follows.
	_ = yaml.Unmarshal(data, &keys)
	return keys.Listen != nil || keys.VM != nil
}

// assignment is a line of the platform's settings file.
var assignment = regexp.MustCompile(`^[a-z][a-z0-9_.-]*=`)

// looksLikePlatformSettings reports whether the first line that says something is
// an assignment; neither YAML format has such lines.
func looksLikePlatformSettings(data []byte) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			return assignment.Match(line)
		}
	}
	return false
}

// checkPlatformSettings reads the file as the entry command does and tells what
// it makes of it.
func checkPlatformSettings(file string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid platform settings\n%s", file, describe(s))
	return nil
}

func describe(s *entry.Settings) string {
	keys := "keys are served by the last configuration known"
	if s.Strict {
		keys = fmt.Sprintf("keys are served for less than %v after the configuration was confirmed", s.RevokeAfter)
	}
	return fmt.Sprintf(`  VM %s in availability zone %s of %v, first start of the system: %t
  clients %s, readiness %s, other nodes %s, store %s
  %s
  %v from SIGTERM to the end; repeats %v of the requests and %v more in %v
`, s.VM, s.Zone, s.Zones, s.Bootstrap, s.Front, s.Ready, s.Peer, s.Store, keys, s.Grace, s.RetryRatio, s.RetrySlack, s.RetryWindow)
}
