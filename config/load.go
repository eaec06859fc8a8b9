package config

import (
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Load holds the settings of the load tool.
type LoadTest struct {
	Targets  []netip.AddrPort
	Tokens   []string
	Model    models.ModelName
	Rate     float64
	Duration time.Duration
	Prompt   int
	Answer   int
	Prefixes int
	Timeout  time.Duration
	Seed     int
	JSON     bool
}

// LoadFlags are the flags that LoadLoad reads.
func LoadTestFlags() []cli.Flag {
	return []cli.Flag{
		listFlag("target", "address of a daemon for callers; may be given more than once"),
		listFlag("caller-token", "token of a workspace; may be given more than once"),
		stringFlag("model", "model to ask for", ""),
		&cli.Float64Flag{Name: "rate", Usage: "requests a second", Value: 10, EnvVars: []string{EnvVar("rate")}},
		durationFlag("duration", "how long to send", 10*time.Second),
		intFlag("prompt", "mean length of a prompt, in bytes", 1000),
		intFlag("answer", "mean length of an answer, in tokens", 50),
		intFlag("prefixes", "how many beginnings the prompts share; 0 for none", 0),
		durationFlag("timeout", "how long one request is waited for", time.Minute),
		intFlag("seed", "fixes lengths and prefixes", 1),
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

// LoadLoad reads and checks the settings.
func LoadLoadTest(c *cli.Context) (LoadTest, error) {
	r := &reader{c: c}
	l := LoadTest{
		Targets:  r.dialAddrs("target"),
		Tokens:   c.StringSlice("caller-token"),
		Model:    name[models.ModelName](r, "model"),
		Rate:     c.Float64("rate"),
		Duration: r.duration("duration", 100*time.Millisecond, 24*time.Hour),
		Prompt:   r.count("prompt", 1, 1<<20),
		Answer:   r.count("answer", 1, 1<<20),
		Prefixes: r.count("prefixes", 0, 1<<20),
		Timeout:  r.duration("timeout", time.Millisecond, time.Hour),
		Seed:     r.count("seed", 0, 1<<30),
		JSON:     c.Bool("json"),
	}
	if len(l.Targets) == 0 {
		r.addError("target", errEmpty)
	}
	if len(l.Tokens) == 0 || strings.TrimSpace(strings.Join(l.Tokens, "")) == "" {
		r.addError("caller-token", errEmpty)
	}
	if l.Rate <= 0 {
		r.addError("rate", errNotPositive)
	}
	return l, r.err()
}
