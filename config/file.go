package config

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v2"
)

// FileEnv is the environment variable that names the settings file.
const FileEnvVar = "LUPINKEEL_NODE_FILE"

// ReadFile sets the flags that the command line and the environment leave
// open from the settings file, if there is one. Each line holds NAME=VALUE,
// with the flag's name; empty lines and those that begin with # are passed
// over, and so are names of no flag, since a newer platform may add some. A name
// without a value stays at its default: the platform fills in nothing where it
// has no such field.
func ReadFile(c *cli.Context) error {
	path := os.Getenv(FileEnvVar)
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: settings file (%s): %w", ErrSetting, FileEnvVar, err)
	}
	defer file.Close()
	// open are the flags that the file may set.
	unset := map[string]bool{}
	for _, f := range c.Command.Flags {
		name := f.Names()[0]
		unset[name] = !c.IsSet(name)
	}
	seen := map[string]bool{}
	var errs []error
	lines := bufio.NewScanner(file)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		if !found {
			errs = append(errs, fmt.Errorf("%w: %s:%d: no '='", ErrSetting, path, n))
			continue
		}
		name = strings.TrimSpace(name)
		if seen[name] {
			errs = append(errs, fmt.Errorf("%w: %s:%d: %s is set twice", ErrSetting, path, n, name))
			continue
		}
		seen[name] = true
		value = strings.TrimSpace(value)
		if !unset[name] || value == "" {
			continue
		}
		if err := c.Set(name, value); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s:%d: %s: %w", ErrSetting, path, n, name, err))
		}
	}
	return errors.Join(append(errs, lines.Err())...)
}

// Given are the settings of the command line and the environment, which go
// before those of the settings file. It must be called before ReadFile.
func ExplicitFlags(c *cli.Context) map[string]string {
	explicit := map[string]string{}
	for _, f := range c.Command.Flags {
		if name := f.Names()[0]; c.IsSet(name) {
			explicit[name] = fmt.Sprint(c.Value(name))
		}
	}
	return explicit
}

// ReloadGateway reads the settings anew: those given at the start, and the
// settings file, which may have changed.
func ReloadGateway(explicit map[string]string) (Gateway, error) {
	flags := GatewayFlags()
	flagSet := flag.NewFlagSet("gateway", flag.ContinueOnError)
	for _, f := range flags {
		if err := f.Apply(flagSet); err != nil {
			return Gateway{}, fmt.Errorf("%w: %w", ErrSetting, err)
		}
	}
	c := cli.NewContext(nil, flagSet, nil)
	c.Command = &cli.Command{Name: "gateway", Flags: flags}
	for _, f := range flags {
		name := f.Names()[0]
		value, found := explicit[name]
		if !found {
			continue
		}
		if err := c.Set(name, value); err != nil {
			return Gateway{}, fmt.Errorf("%w: %s: %w", ErrSetting, name, err)
		}
	}
	if err := ReadFile(c); err != nil {
		return Gateway{}, err
	}
	return LoadGateway(c)
}
