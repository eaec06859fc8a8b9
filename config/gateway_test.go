package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v2"
)

// loadFile loads the settings of the gateway command from a settings file with the given text
// and from command line arguments.
func loadFile(t *testing.T, text string, args ...string) (Gateway, error) {
	path := filepath.Join(t.TempDir(), "settings.conf")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	t.Setenv(FileEnvVar, path)
	var loaded Gateway
	app := &cli.App{
		Commands: []*cli.Command{{Name: "gateway", Flags: GatewayFlags(), Action: func(c *cli.Context) error {
			if err := ReadFile(c); err != nil {
				return err
			}
			var err error
			loaded, err = LoadGateway(c)
			return err
		}}},
		ExitErrHandler: func(*cli.Context, error) {},
	}
	err := app.Run(append([]string{"lupinkeel", "gateway"}, args...))
	return loaded, err
}

const validFile = `# written by the platform
id=front-1
zone=z1
listen=127.0.0.1:7000
store=127.0.0.1:7100
retry-slack=81.4
keys-bound=5000ms
something-newer=1
`

func TestReadFile(t *testing.T) {
	c := qt.New(t)
	s, err := loadFile(t, validFile)
	c.Assert(err, qt.IsNil)
	c.Assert(string(s.ID), qt.Equals, "front-1")
	c.Assert(s.RetrySlack, qt.Equals, 81.4)
	c.Assert(s.KeysBound, qt.Equals, 5*time.Second)
	s, err = loadFile(t, validFile, "--zone", "z2")
	c.Assert(err, qt.IsNil)
	c.Assert(string(s.Zone), qt.Equals, "z2", qt.Commentf("a flag takes precedence over the file"))
}

// TestReloadGateway checks that a reload reads the changed settings file, and that the flags set
// at the start still take precedence over it.
func TestReloadGateway(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "settings.conf")
	t.Setenv(FileEnvVar, path)
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	explicit := map[string]string{"zone": "z2", "keys-bound": "3s"}
	write(validFile)
	s, err := ReloadGateway(explicit)
	c.Assert(err, qt.IsNil)
	c.Assert(string(s.Zone), qt.Equals, "z2")
	c.Assert(s.KeysBound, qt.Equals, 3*time.Second)
	write(strings.ReplaceAll(validFile, "81.4", "12"))
	s, err = ReloadGateway(explicit)
	c.Assert(err, qt.IsNil)
	c.Assert(s.RetrySlack, qt.Equals, 12.0)
	write(validFile + "retry-window=never\n")
	_, err = ReloadGateway(explicit)
	c.Assert(err, qt.ErrorIs, ErrSetting)
}

// TestInvalidSettings checks that the error names the invalid setting.
func TestInvalidSettings(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ line, want string }{
		{"config-bound=soon", "config-bound"},
		{"keys-bound=1s", "set twice"},
		{"retry-ratio=7", "--retry-ratio"},
		{"memory=lots", "memory"},
		{"metrics=nowhere", "--metrics"},
		{"no equals sign", "no '='"},
		{"strict-keys=mostly", "strict-keys"},
		{"stale-keys=1ms", "--stale-keys"},
		{"regions=zone-a", "--regions"},
	} {
		_, err := loadFile(t, validFile+test.line+"\n")
		c.Assert(err, qt.ErrorIs, ErrSetting, qt.Commentf("%s", test.line))
		c.Assert(strings.Contains(err.Error(), test.want), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// TestMaxKeysProofAge checks that the maximum age of the proof is below keys-bound with
// strict-keys, which is the default, and is stale-keys without.
func TestMaxKeysProofAge(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		line string
		want time.Duration
	}{
		{"", 4 * time.Second},
		{"strict-keys=", 4 * time.Second},
		{"strict-keys=true", 4 * time.Second},
		{"strict-keys=false", time.Hour},
		{"strict-keys=false\nstale-keys=90s", 90 * time.Second},
	} {
		s, err := loadFile(t, validFile+test.line+"\n")
		c.Assert(err, qt.IsNil, qt.Commentf("%s", test.line))
		c.Assert(s.MaxKeysProofAge(), qt.Equals, test.want, qt.Commentf("%s", test.line))
	}
}

// TestDeployedSettingsFile checks that the template of the settings file, which the platform
// fills in, has no names other than those of flags.
func TestDeployedSettingsFile(t *testing.T) {
	c := qt.New(t)
	known := map[string]bool{}
	for _, f := range GatewayFlags() {
		known[f.Names()[0]] = true
	}
	data, err := os.ReadFile("../deploy/settings.conf")
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, _, found := strings.Cut(line, "=")
		c.Assert(found, qt.IsTrue, qt.Commentf("%s", line))
		c.Assert(known[name], qt.IsTrue, qt.Commentf("%s", name))
	}
}
