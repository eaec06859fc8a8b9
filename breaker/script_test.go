package breaker

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestScripts runs the scripts in testdata. Each line holds a time, what happens, and what
// comes of it. Instances may name their birth, in seconds, behind an @.
//
//	word INSTANCE rest=D|leaving      an answer of the instance says so to this daemon
//	told DAEMON INSTANCE ...          another daemon tells that one did
//	check, next, busy, report INSTANCE
//	admit INSTANCE as NAME            a request is to be sent there
//	settle NAME taken|turned-away|unanswered
//	since CHANGE                      what daemon d2 is told, from daemon d1
//	prune, unlist                     forgets what is old; no instance is listed any more
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			s := script{c: qt.New(t), b: New(rand.New(rand.NewPCG(1, 2))), passes: map[string]Admission{}, listed: true}
			for n, line := range strings.Split(string(data), "\n") {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					s.run(n+1, line)
				}
			}
		})
	}
}

type script struct {
	c      *qt.C
	b      *Breakers
	passes map[string]Admission
	listed bool
	now    time.Time
}

var (
	epoch    = time.Unix(1_000_000, 0)
	verdicts = map[error]string{nil: "ok", ErrResting: "resting", ErrProbing: "tried", ErrLeaving: "leaving"}
	ends     = map[string]End{"taken": Taken, "turned-away": TurnedAway, "unanswered": Unanswered}
)

func (s *script) run(n int, line string) {
	do, want, _ := strings.Cut(line, "->")
	words := strings.Fields(do)
	s.now = epoch.Add(s.duration(words[0]))
	got := s.step(words[1], words[2:])
	s.c.Assert(got, qt.Equals, strings.TrimSpace(want), qt.Commentf("line %d: %s", n, line))
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	s.c.Assert(err, qt.IsNil)
	return d
}

// since is a time in the script's words.
func (s *script) since(t time.Time) string { return t.Sub(epoch).String() }

func (s *script) instance(text string) models.UpstreamInstance {
	id, born, told := strings.Cut(text, "@")
	i := models.UpstreamInstance{ID: models.InstanceID(id)}
	if told {
		seconds, err := strconv.ParseInt(born, 10, 64)
		s.c.Assert(err, qt.IsNil)
		i.Born = time.Unix(seconds, 0)
	}
	return i
}

func (s *script) word(args []string) Signal {
	i := s.instance(args[0])
	w := Signal{Instance: i.ID, Born: i.Born, Heard: s.now}
	for _, a := range args[1:] {
		if rest, found := strings.CutPrefix(a, "rest="); found {
			w.Rest = s.duration(rest)
		}
		w.Leaving = w.Leaving || a == "leaving"
	}
	return w
}

func (s *script) step(verb string, args []string) string {
	switch verb {
	case "word":
		return shown(s.b.Note(s.word(args), ""))
	case "told":
		return shown(s.b.Note(s.word(args[1:]), Source(args[0])))
	case "check":
		return verdicts[s.b.Check(s.instance(args[0]), s.now)]
	case "busy":
		return yes(s.b.IsBusy(s.instance(args[0]), s.now), "yes")
	case "report":
		return yes(s.b.AdmitReport(s.instance(args[0]), s.now), "ok")
	case "next":
		return s.next(s.instance(args[0]))
	case "admit":
		pass, err := s.b.Admit(s.instance(args[0]), s.now)
		if err == nil {
			s.passes[args[2]] = pass
		}
		return verdicts[err]
	case "settle":
		s.b.Settle(s.passes[args[0]], ends[args[1]], s.now)
	case "since":
		return s.told(args[0])
	case "unlist":
		s.listed = false
	case "prune":
		ended := s.b.Prune(func(models.InstanceID) bool { return s.listed }, s.now)
		return strings.Trim(fmt.Sprint(ended), "[]")
	default:
		s.c.Fatalf("no step %q", verb)
	}
	return ""
}

func yes(is bool, word string) string {
	if is {
		return word
	}
	return "no"
}

func shown(c Change) string {
	var out []string
	for _, f := range []struct {
		name string
		is   bool
	}{{"began", c.Began}, {"lengthened", c.Lengthened}, {"leaving", c.Leaving}, {"tell", c.Tell}} {
		if f.is {
			out = append(out, f.name)
		}
	}
	return strings.Join(out, " ")
}

// next tells between which times the instance may be tried, over all that daemons may draw.
func (s *script) next(i models.UpstreamInstance) string {
	first, since, ok := s.b.Next(i, s.now)
	if !ok {
		return "never"
	}
	last := first
	if k := s.b.find(i); errors.Is(s.b.Check(i, s.now), ErrResting) {
		spread := time.Duration(jitterFraction * float64(k.until.Sub(k.began)))
		s.c.Assert(!first.Before(k.until) && first.Before(k.until.Add(spread)), qt.IsTrue)
		first, last = k.until, k.until.Add(spread)
	}
	return fmt.Sprintf("%s..%s since %s", s.since(first), s.since(last), s.since(since))
}

func (s *script) told(change string) string {
	seen, err := strconv.ParseUint(change, 10, 64)
	s.c.Assert(err, qt.IsNil)
	words, _ := s.b.Since(seen, func(from Source) bool { return from != "d2" }, s.now)
	slices.SortFunc(words, func(a, b Signal) int { return cmp.Compare(a.Rest, b.Rest) })
	var out []string
	for _, w := range words {
		text := string(w.Instance)
		if w.Leaving {
			text += " leaving"
		}
		if w.Rest > 0 {
			text += " rest=" + w.Rest.String()
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ") + " from d1"
}
