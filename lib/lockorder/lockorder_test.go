package lockorder

import (
	"bufio"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFindings(t *testing.T) {
	c := qt.New(t)
	const dir = "testdata/locks"
	a, err := Load(dir, ".")
	c.Assert(err, qt.IsNil)
	c.Assert(lines(a.Cycles()), qt.DeepEquals, marked(c, dir+"/locks.go", "// cycle"))
	c.Assert(lines(a.Blocking()), qt.DeepEquals, marked(c, dir+"/locks.go", "// blocks"))
}

// lines returns the numbers of the lines that have findings.
func lines(findings []Finding) []int {
	var out []int
	for _, f := range findings {
		out = append(out, f.Pos.Line)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// marked returns the numbers of the lines of a file that end with a comment.
func marked(c *qt.C, file, comment string) []int {
	f, err := os.Open(file)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var out []int
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		if strings.HasSuffix(scanner.Text(), comment) {
			out = append(out, n)
		}
	}
	c.Assert(scanner.Err(), qt.IsNil)
	return out
}
