package config

import (
	"net/netip"

	"github.com/urfave/cli/v2"
)

// Ask holds the settings of the operator commands, which call a daemon.
type Ask struct {
	Admin netip.AddrPort
	Token string
	JSON  bool
}

// AskFlags returns the flags that LoadAsk reads.
func AskFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("admin", "operator address (--admin) of any daemon", "127.0.0.1:7701"),
		stringFlag("token", "operator's token; set it in the environment to keep it out of process lists", ""),
		&cli.BoolFlag{Name: "json", Usage: "print the response as JSON"},
		&cli.BoolFlag{Name: "wait-all", Usage: "wait until a change is in force on every daemon"},
	}
}

// LoadAsk reads and validates the settings.
func LoadAsk(c *cli.Context) (Ask, error) {
	r := &reader{c: c}
	a := Ask{Admin: r.dialAddr("admin"), Token: c.String("token"), JSON: c.Bool("json")}
	return a, r.err()
}
