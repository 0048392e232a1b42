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
	sub.Description = "run a stand-in of an outside system, for tests. Example: chervilloom standin engine --settings engine.yaml"
	sub.String(&listen, "l", "listen", "ip:port, port 0 for any")
	sub.String(&file, "s", "settings", "the stand-in's settings, YAML; none: defaults")
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
