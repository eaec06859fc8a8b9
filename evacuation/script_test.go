package evacuation

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestScripts runs the scripts of testdata. Daemons start without any state; positions are written
// as ERA:OFFSET.
//
//	apply DAEMON END [+ZONE@POS | -ZONE@POS]...   the daemon reads records up to END
//	read DAEMON END [ZONE...]                     the daemon reads a snapshot of the store
//	tell DAEMON OTHER                             the daemon sends its state to another one
//	wait DURATION                                 time passes, and evacuations expire
//	zones DAEMON [ZONE...]                        checks the evacuated zones
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runScript(t, file) })
	}
}

type script struct {
	c       *qt.C
	now     time.Time
	daemons map[string]*Zones
}

func runScript(t *testing.T, file string) {
	c := qt.New(t)
	f, err := os.Open(file)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	s := &script{c: c, now: time.Unix(1_000_000, 0), daemons: map[string]*Zones{}}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.run(words, qt.Commentf("%s:%d: %s", filepath.Base(file), n, line))
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func (s *script) run(words []string, at qt.Comment) {
	verb, words := words[0], words[1:]
	if verb == "wait" {
		d, err := time.ParseDuration(words[0])
		s.c.Assert(err, qt.IsNil, at)
		s.now = s.now.Add(d)
		for _, z := range s.daemons {
			z.Expire(s.now)
		}
		return
	}
	z := s.daemon(words[0])
	switch verb {
	case "apply":
		var changes []Change
		for _, word := range words[2:] {
			zone, pos, _ := strings.Cut(word[1:], "@")
			changes = append(changes, Change{Zone: models.Zone(zone), Evacuated: word[0] == '+', Position: s.position(pos, at)})
		}
		z.Apply(changes, s.position(words[1], at))
	case "read":
		z.Replace(toZones(words[2:]), s.position(words[1], at), s.now)
	case "tell":
		s.daemon(words[1]).Replace(z.Confirmed(), z.End(), s.now)
	case "zones":
		s.c.Assert(fmt.Sprint(z.List()), qt.Equals, fmt.Sprint(toZones(words[1:])), at)
	default:
		s.c.Fatalf("unknown verb %s", verb)
	}
}

func (s *script) daemon(name string) *Zones {
	if s.daemons[name] == nil {
		s.daemons[name] = &Zones{}
	}
	return s.daemons[name]
}

func (s *script) position(text string, at qt.Comment) models.Position {
	era, offset, _ := strings.Cut(text, ":")
	var p models.Position
	var err error
	p.Era, err = strconv.ParseInt(era, 10, 64)
	s.c.Assert(err, qt.IsNil, at)
	p.Offset, err = strconv.ParseInt(offset, 10, 64)
	s.c.Assert(err, qt.IsNil, at)
	return p
}

func toZones(words []string) []models.Zone {
	var out []models.Zone
	for _, word := range words {
		out = append(out, models.Zone(word))
	}
	return out
}

func ExampleZones() {
	var z Zones
	z.Apply([]Change{{Zone: "fabric-a", Evacuated: true, Position: models.Position{Offset: 3}}}, models.Position{Offset: 4})
	fmt.Println(z.List())
	// Output: [fabric-a]
}
