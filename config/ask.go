package config

import (
	"net/netip"

	"github.com/urfave/cli/v2"
)

// Ask holds the settings of the commands that speak to a daemon.
type Ask struct {
	Admin netip.AddrPort
	Token string
	JSON  bool
}

// AskFlags are the flags that LoadAsk reads.
func AskFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("admin", "address of any daemon for operators", "127.0.0.1:7701"),
		stringFlag("token", "operator's token; better given by the environment", ""),
		&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		&cli.BoolFlag{Name: "wait-all", Usage: "wait until a change is in force on every daemon"},
	}
}

// LoadAsk reads and checks the settings.
func LoadAsk(c *cli.Context) (Ask, error) {
	r := &reader{c: c}
	a := Ask{Admin: r.dialAddr("admin"), Token: c.String("token"), JSON: c.Bool("json")}
	return a, r.err()
}
