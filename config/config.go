// Package config loads and validates the settings of each command from flags, environment
// variables and the settings file. The error for an invalid setting names its flag and its
// environment variable.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// ErrSetting is returned for an invalid setting.
var ErrSetting = errors.New("bad setting")

const envPrefix = "LUPINKEEL_"

// EnvVar returns the name of the environment variable that sets a flag.
func EnvVar(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(name, usage, value string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, EnvVars: []string{EnvVar(name)}}
}

func listFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, EnvVars: []string{EnvVar(name)}}
}

func durationFlag(name, usage string, value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, EnvVars: []string{EnvVar(name)}}
}

func intFlag(name, usage string, value int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, EnvVars: []string{EnvVar(name)}}
}

// reader reads and validates flags and collects the errors of all invalid ones.
type reader struct {
	c    *cli.Context
	errs []error
}

func (r *reader) addError(flag string, err error) {
	r.errs = append(r.errs, fmt.Errorf("%w: --%s (%s): %w", ErrSetting, flag, EnvVar(flag), err))
}

func (r *reader) err() error { return errors.Join(r.errs...) }

var (
	errEmpty       = errors.New("must be set")
	errLogLevel    = errors.New("allowed are debug, info, warn and error")
	errNotPositive = errors.New("must be more than 0")
	errNegative    = errors.New("must not be less than 0")
	errRatio       = errors.New("must be 0 to 1")
	errZeroPort    = errors.New("needs a port other than 0")
)

func (r *reader) addr(flag string) netip.AddrPort {
	text := r.c.String(flag)
	if text == "" {
		r.addError(flag, errEmpty)
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(flag, fmt.Errorf("%q is not an IP address and port such as 127.0.0.1:7000", text))
	}
	return addr
}

// sourceIP reads an optional IP address that is the source address of connections. The result is
// not valid if the flag is not set.
func (r *reader) sourceIP(flag string) netip.Addr {
	text := r.c.String(flag)
	if text == "" {
		return netip.Addr{}
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		r.addError(flag, fmt.Errorf("%q is not an IP address", text))
	}
	return addr
}

// dialAddr reads an address to connect to. Unlike a listen address, it needs a port other than 0.
func (r *reader) dialAddr(flag string) netip.AddrPort {
	addr := r.addr(flag)
	if addr.IsValid() && addr.Port() == 0 {
		r.addError(flag, errZeroPort)
	}
	return addr
}

func (r *reader) dialAddrs(flag string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range r.c.StringSlice(flag) {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			r.addError(flag, fmt.Errorf("%q is not an IP address and port", text))
			continue
		}
		out = append(out, addr)
	}
	return out
}

func name[S ~string](r *reader, flag string) S {
	value := S(r.c.String(flag))
	if err := models.CheckName(value); err != nil {
		r.addError(flag, err)
	}
	return value
}

func (r *reader) duration(flag string, minimum, maximum time.Duration) time.Duration {
	d := r.c.Duration(flag)
	if d < minimum || d > maximum {
		r.addError(flag, fmt.Errorf("%s is out of range, allowed are %s to %s", d, minimum, maximum))
	}
	return d
}

func (r *reader) count(flag string, minimum, maximum int) int {
	n := r.c.Int(flag)
	if n < minimum || n > maximum {
		r.addError(flag, fmt.Errorf("%d is out of range, allowed are %d to %d", n, minimum, maximum))
	}
	return n
}

func (r *reader) tokenHash(flag string) string {
	text := r.c.String(flag)
	if text == "" {
		return ""
	}
	operator := models.Operator{Name: "x", Right: models.RightAsk, Tokens: []string{text}}
	if err := operator.Check(); err != nil {
		r.addError(flag, err)
	}
	return text
}
