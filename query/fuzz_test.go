package query_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/query"
	"github.com/lupinkeel/lupinkeel/state"
)

func ExampleParse() {
	commands, err := query.Parse(`set model brief members 4
  replicas 2 because "night"; show groups where model = brief`)
	fmt.Println(len(commands), commands[0].Change.Set.Name, commands[0].Change.Note, commands[1].Show.What, err)
	_, err = query.Parse("show groups where = 3")
	fmt.Println(err)
	// Output:
	// 2 brief night groups <nil>
	// can't read the command: line 1, column 19: unexpected token "=" (expected Cond ("and" Cond)*)
	//   show groups where = 3
	//                     ^
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show groups", `set model m version v1 members 4 because "x"`, "plan drain instance i", "weigh downtime 3 stranded 1",
		"allow workspace w model a, b@v2", "# nothing", "\n\n;;", "why stranded", "where request r",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		commands, err := query.Parse(text)
		if err != nil {
			if !errors.Is(err, query.ErrSyntax) || len(commands) > 0 {
				t.Fatalf("%v with %d commands", err, len(commands))
			}
			return
		}
		s := state.New()
		before, _ := s.Digest()
		for _, c := range commands {
			if c.Change != nil {
				_, _ = query.Compile(s, []*query.Change{c.Change})
			} else {
				_, _ = query.Evaluate(query.View{State: s}, c)
			}
		}
		if after, _ := s.Digest(); after != before {
			t.Fatal("reading commands changed the state")
		}
	})
}

// TestPrintRoundTrip checks that a printed configuration recreates the same configuration.
func TestPrintRoundTrip(t *testing.T) {
	c := qt.New(t)
	text := `set model brief version v1 members 4 replicas 2 zones a, b domains f1
set service pings zones a
set workspace lab models brief, brief@v2 services pings share 3 concurrent 9 domains f1
set operator ann right change
weigh downtime 5 stranded 1
drain instance i-1`
	s := configure(c, state.New(), text)
	reparsed := configure(c, state.New(), query.Print(s))
	c.Assert(query.Print(reparsed), qt.Equals, query.Print(s))
	c.Assert(s.Workspaces["lab"].Models, qt.DeepEquals, []models.ModelRule{{Model: "brief"}, {Model: "brief", Version: "v2"}})
}

func configure(c *qt.C, s *state.State, text string) *state.State {
	commands, err := query.Parse(text)
	c.Assert(err, qt.IsNil)
	var changes []*query.Change
	for _, cmd := range commands {
		changes = append(changes, cmd.Change)
	}
	ops, err := query.Compile(s, changes)
	c.Assert(err, qt.IsNil)
	next, err := s.Preview(ops)
	c.Assert(err, qt.IsNil)
	return next
}
