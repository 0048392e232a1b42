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
	sub.Description = "validate settings or a configuration document; report every error with its line and remedy and exit with 1. Example: chervilloom check fleet.yaml"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings of a node, the platform's settings file, or a configuration document")
	return command{sub, func(context.Context) error { return checkFile(file) }}
}

// checkFile validates a file and returns all its errors. The content decides between
// platform settings, node settings and a configuration document, the default.
func checkFile(file string) error {
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

// looksLikeSettings reports whether the file has a key that only node settings
// have.
func looksLikeSettings(data []byte) bool {
	var keys struct {
		Listen any `yaml:"listen"`
		VM     any `yaml:"vm"`
	}
	// Errors are ignored here; the strict parser that runs next reports them.
	_ = yaml.Unmarshal(data, &keys)
	return keys.Listen != nil || keys.VM != nil
}

// assignmentPattern matches a key=value line of the platform's settings file.
var assignmentPattern = regexp.MustCompile(`^[a-z][a-z0-9_.-]*=`)

// looksLikePlatformSettings reports whether the first line that is neither blank
// nor a comment is an assignment; neither YAML format has such lines.
func looksLikePlatformSettings(data []byte) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			return assignmentPattern.Match(line)
		}
	}
	return false
}

// checkPlatformSettings parses the file as the entry command does and prints a
// summary of the settings.
func checkPlatformSettings(file string) error {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid platform settings\n%s", file, describeSettings(s))
	return nil
}

func describeSettings(s *entry.Settings) string {
	keys := "caller keys are checked against the last known configuration, however old"
	if s.StrictRevocation {
		keys = fmt.Sprintf("caller keys are accepted for less than %v after the configuration was last confirmed", s.RevokeAfter)
	}
	return fmt.Sprintf(`  VM %s in availability zone %s of %v, bootstrap of the system: %t
  clients %s, readiness %s, other nodes %s, store %s
  %s
  grace period %v after SIGTERM; retry budget: %v of the requests plus %v in each window of %v
`, s.VM, s.Zone, s.Zones, s.Bootstrap, s.ClientAddr, s.ReadinessAddr, s.PeerAddr, s.Store, keys, s.GracePeriod, s.RetryRatio, s.RetrySlack, s.RetryWindow)
}
