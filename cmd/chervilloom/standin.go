package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"chervilloom/internal/standin"
)

func newStandin() command {
	var kind, file string
	listen := "127.0.0.1:0"
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "run a stand-in for an external system, for tests. Example: chervilloom standin engine --settings engine.yaml"
	sub.String(&listen, "l", "listen", "ip:port; port 0 picks a free port")
	sub.String(&file, "s", "settings", "stand-in settings, YAML; default values if not given")
	sub.AddPositionalValue(&kind, "KIND", 1, true, "platform, engine or service")
	return command{sub, func(ctx context.Context) error {
		var data []byte
		if file != "" {
			var err error
			if data, err = os.ReadFile(file); err != nil {
				return err
			}
		}
		return standin.Run(ctx, standin.Kind(kind), listen, data, os.Stdout)
	}}
}
