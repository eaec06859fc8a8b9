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

// FileEnvVar is the environment variable that holds the path of the settings file.
const FileEnvVar = "LUPINKEEL_NODE_FILE"

// ReadFile reads the settings file, if FileEnvVar is set, and sets the flags that neither the
// command line nor the environment sets. Each line has the form NAME=VALUE, where NAME is the
// name of a flag. Empty lines and lines that begin with # are ignored. Unknown names are ignored
// too, since a newer platform may add some. A flag with an empty value keeps its default: the
// platform writes an empty value for a setting that it does not know.
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
	// unset holds whether a flag is not set yet and may be set by the file.
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

// ExplicitFlags returns the values of the flags that are set on the command line or in the
// environment, which take precedence over the settings file. It must be called before ReadFile.
func ExplicitFlags(c *cli.Context) map[string]string {
	explicit := map[string]string{}
	for _, f := range c.Command.Flags {
		if name := f.Names()[0]; c.IsSet(name) {
			explicit[name] = fmt.Sprint(c.Value(name))
		}
	}
	return explicit
}

// ReloadGateway loads the settings of a daemon again, from the flags that were explicitly set at
// the start and from the current settings file.
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
