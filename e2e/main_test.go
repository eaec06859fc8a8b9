// Package e2e runs real processes on loopback behind a fault-injecting proxy. Each test is a script
// in testdata; commands_test.go lists the commands that scripts have in addition to those of
// testscript.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lupinkeel-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "lupinkeel")
	build := exec.Command("go", "build", raceFlag, "-o", binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// serial runs scripts one after another, because each starts many processes.
type serial struct{ *testing.T }

func (serial) Parallel() {}

func (s serial) Run(name string, f func(testscript.T)) {
	s.T.Run(name, func(t *testing.T) { f(serial{t}) })
}

func (s serial) Verbose() bool { return testing.Verbose() }

func TestScripts(t *testing.T) {
	testscript.RunT(serial{t}, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+os.Getenv("PATH"))
			root, err := filepath.Abs("..")
			if err != nil {
				return err
			}
			env.Setenv("ROOT", root)
			site := newTestSite(env)
			env.Values[testSiteKey{}] = site
			env.Defer(site.stopAll)
			return nil
		},
		Cmds:          scriptCommands,
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}
