package config

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v2"
)

// FileEnv is the environment variable that names the settings file.
const FileEnv = "LUPINKEEL_NODE_FILE"

// ReadFile sets the flags that the command line and the environment leave
// open from the settings file, if there is one. Each line holds NAME=VALUE,
// with the flag's name; empty lines and those that begin with # are passed
// over, and so are names of no flag, since a newer platform may add some.
func ReadFile(c *cli.Context) error {
	path := os.Getenv(FileEnv)
	if path == "" {
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%w: settings file (%s): %w", ErrSetting, FileEnv, err)
	}
	defer f.Close()
	// open are the flags that the file may set.
	open := map[string]bool{}
	for _, flag := range c.Command.Flags {
		name := flag.Names()[0]
		open[name] = !c.IsSet(name)
	}
	seen := map[string]bool{}
	var errs []error
	lines := bufio.NewScanner(f)
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
		if !open[name] {
			continue
		}
		if err := c.Set(name, strings.TrimSpace(value)); err != nil {
			errs = append(errs, fmt.Errorf("%w: %s:%d: %s: %w", ErrSetting, path, n, name, err))
		}
	}
	return errors.Join(append(errs, lines.Err())...)
}
