package main

import (
	"context"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"chervilloom/internal/config"
	"chervilloom/internal/settings"
)

func newCheck() command {
	var file string
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check settings or a configuration document; every error with line and remedy, exit 1. Example: chervilloom check fleet.yaml"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings of a node, or a configuration document")
	return command{sub, func(context.Context) error { return check(file) }}
}

// check takes a file for a configuration document unless it has the key that
// only settings have.
func check(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
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
