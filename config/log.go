package config

import (
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v2"
)

// LogFlags returns the flags that LoadLog reads.
func LogFlags() []cli.Flag {
	return []cli.Flag{stringFlag("log-level", "minimum level of logged events: debug, info, warn or error", "info")}
}

// LoadLog reads and validates the log level.
func LoadLog(c *cli.Context) (zerolog.Level, error) {
	r := &reader{c: c}
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil || level < zerolog.DebugLevel || level > zerolog.ErrorLevel {
		r.addError("log-level", errLogLevel)
	}
	return level, r.err()
}
