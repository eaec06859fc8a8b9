package config

import (
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// LoadTest holds the settings of the load generator.
type LoadTest struct {
	Targets []netip.AddrPort
	Tokens  []string
	Model   models.ModelName
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// PromptBytes is the mean length of a prompt, OutputTokens that of a response.
	PromptBytes  int
	OutputTokens int
	// Prefixes is the number of distinct prefixes that prompts share; 0 for none.
	Prefixes int
	Timeout  time.Duration
	Seed     int
	JSON     bool
}

// LoadTestFlags returns the flags that LoadLoadTest reads.
func LoadTestFlags() []cli.Flag {
	return []cli.Flag{
		listFlag("target", "caller address (--listen) of a daemon; may be repeated"),
		listFlag("caller-token", "token of a workspace; may be repeated"),
		stringFlag("model", "model to request", ""),
		&cli.Float64Flag{Name: "rate", Usage: "requests per second", Value: 10, EnvVars: []string{EnvVar("rate")}},
		durationFlag("duration", "how long to send requests", 10*time.Second),
		intFlag("prompt", "mean length of a prompt, in bytes", 1000),
		intFlag("answer", "mean length of an answer, in tokens", 50),
		intFlag("prefixes", "number of distinct prefixes that prompts share; 0 for none", 0),
		durationFlag("timeout", "timeout of a request", time.Minute),
		intFlag("seed", "seed of the random lengths and prefixes", 1),
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

// LoadLoadTest reads and validates the settings.
func LoadLoadTest(c *cli.Context) (LoadTest, error) {
	r := &reader{c: c}
	l := LoadTest{
		Targets:      r.dialAddrs("target"),
		Tokens:       c.StringSlice("caller-token"),
		Model:        name[models.ModelName](r, "model"),
		Rate:         c.Float64("rate"),
		Duration:     r.duration("duration", 100*time.Millisecond, 24*time.Hour),
		PromptBytes:  r.count("prompt", 1, 1<<20),
		OutputTokens: r.count("answer", 1, 1<<20),
		Prefixes:     r.count("prefixes", 0, 1<<20),
		Timeout:      r.duration("timeout", time.Millisecond, time.Hour),
		Seed:         r.count("seed", 0, 1<<30),
		JSON:         c.Bool("json"),
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
