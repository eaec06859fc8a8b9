// Package doc_test holds the manual against the code.
package doc_test

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	eventInCode   = regexp.MustCompile(`\bMsg\("([a-z-]+)"\)`)
	metricPattern = regexp.MustCompile(`lupinkeel_[a-z_]+`)
	firstColumn   = regexp.MustCompile(`(?m)^\| ([a-z][^|]*) \|`)
	word          = regexp.MustCompile(`[a-z][a-z-]+`)
)

// sources joins the code of all packages without their tests.
func sources(c *qt.C) string {
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	c.Assert(err, qt.IsNil)
	return all.String()
}

func section(c *qt.C, title string) string {
	data, err := os.ReadFile("lupinkeel.1.md")
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(data), "## "+title+"\n")
	c.Assert(found, qt.IsTrue)
	text, _, _ := strings.Cut(rest, "\n## ")
	return text
}

func names(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

func TestEventsAreDocumented(t *testing.T) {
	c := qt.New(t)
	inCode := map[string]bool{}
	for _, m := range eventInCode.FindAllStringSubmatch(sources(c), -1) {
		inCode[m[1]] = true
	}
	inManual := map[string]bool{}
	for _, row := range firstColumn.FindAllStringSubmatch(section(c, "LOG EVENTS"), -1) {
		for _, name := range word.FindAllString(row[1], -1) {
			inManual[name] = true
		}
	}
	delete(inManual, "event")
	c.Assert(names(inManual), qt.DeepEquals, names(inCode))
}

func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	inCode := map[string]bool{}
	for _, name := range metricPattern.FindAllString(sources(c), -1) {
		inCode[name] = true
	}
	inManual := map[string]bool{}
	for _, name := range metricPattern.FindAllString(section(c, "METRICS"), -1) {
		inManual[name] = true
	}
	c.Assert(names(inManual), qt.DeepEquals, names(inCode))
}
