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

// TestScripts runs the scripts in testdata. Each line holds a time, a command, and its expected
// result. An instance may have its start time, in seconds, after an @.
//
//	signal INSTANCE backoff=D|leaving this daemon receives a signal from the instance
//	remote DAEMON INSTANCE ...        another daemon broadcasts a signal that it received
//	check, next, busy, report INSTANCE
//	admit INSTANCE as NAME            a request is to be sent to the instance
//	settle NAME accepted|rejected|unanswered
//	since CHANGE                      what is broadcast to daemon d2, by daemon d1
//	prune                             drops old state and returns the backoffs that ended
//	unlist                            no instance is listed any more
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			s := script{c: qt.New(t), b: New(rand.New(rand.NewPCG(1, 2))), admissions: map[string]Admission{}, listed: true}
			for n, line := range strings.Split(string(data), "\n") {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					s.run(n+1, line)
				}
			}
		})
	}
}

type script struct {
	c          *qt.C
	b          *Breakers
	admissions map[string]Admission
	listed     bool
	now        time.Time
}

var (
	epoch    = time.Unix(1_000_000, 0)
	errNames = map[error]string{nil: "ok", ErrBackingOff: "backing-off", ErrProbing: "probing", ErrLeaving: "leaving"}
	outcomes = map[string]Outcome{"accepted": Accepted, "rejected": Rejected, "unanswered": Unanswered}
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

// sinceEpoch returns a time as the scripts write it.
func (s *script) sinceEpoch(t time.Time) string { return t.Sub(epoch).String() }

func (s *script) instance(text string) models.UpstreamInstance {
	id, startedAt, hasStartedAt := strings.Cut(text, "@")
	i := models.UpstreamInstance{ID: models.InstanceID(id)}
	if hasStartedAt {
		seconds, err := strconv.ParseInt(startedAt, 10, 64)
		s.c.Assert(err, qt.IsNil)
		i.StartedAt = time.Unix(seconds, 0)
	}
	return i
}

func (s *script) signal(args []string) Signal {
	i := s.instance(args[0])
	signal := Signal{Instance: i.ID, StartedAt: i.StartedAt, ReceivedAt: s.now}
	for _, a := range args[1:] {
		if backoff, found := strings.CutPrefix(a, "backoff="); found {
			signal.Backoff = s.duration(backoff)
		}
		signal.Leaving = signal.Leaving || a == "leaving"
	}
	return signal
}

func (s *script) step(verb string, args []string) string {
	switch verb {
	case "signal":
		return changeString(s.b.Apply(s.signal(args), ""))
	case "remote":
		return changeString(s.b.Apply(s.signal(args[1:]), Source(args[0])))
	case "check":
		return errNames[s.b.Check(s.instance(args[0]), s.now)]
	case "busy":
		return yesNo(s.b.IsBusy(s.instance(args[0]), s.now), "yes")
	case "report":
		return yesNo(s.b.AdmitReport(s.instance(args[0]), s.now), "ok")
	case "next":
		return s.next(s.instance(args[0]))
	case "admit":
		admission, err := s.b.Admit(s.instance(args[0]), s.now)
		if err == nil {
			s.admissions[args[2]] = admission
		}
		return errNames[err]
	case "settle":
		s.b.Settle(s.admissions[args[0]], outcomes[args[1]], s.now)
	case "since":
		return s.since(args[0])
	case "unlist":
		s.listed = false
	case "prune":
		ended := s.b.Prune(func(models.InstanceID) bool { return s.listed }, s.now)
		return strings.Trim(fmt.Sprint(ended), "[]")
	default:
		s.c.Fatalf("unknown command %q", verb)
	}
	return ""
}

func yesNo(is bool, word string) string {
	if is {
		return word
	}
	return "no"
}

func changeString(c Change) string {
	var out []string
	for _, f := range []struct {
		name string
		is   bool
	}{{"started", c.Started}, {"extended", c.Extended}, {"leaving", c.Leaving}, {"broadcast", c.Broadcast}} {
		if f.is {
			out = append(out, f.name)
		}
	}
	return strings.Join(out, " ")
}

// next returns the range of times from which the instance may be probed, over all values of the
// jitter.
func (s *script) next(i models.UpstreamInstance) string {
	first, since, ok := s.b.Next(i, s.now)
	if !ok {
		return "never"
	}
	last := first
	if br := s.b.find(i); errors.Is(s.b.Check(i, s.now), ErrBackingOff) {
		spread := time.Duration(jitterFraction * float64(br.until.Sub(br.started)))
		s.c.Assert(!first.Before(br.until) && first.Before(br.until.Add(spread)), qt.IsTrue)
		first, last = br.until, br.until.Add(spread)
	}
	return fmt.Sprintf("%s..%s since %s", s.sinceEpoch(first), s.sinceEpoch(last), s.sinceEpoch(since))
}

func (s *script) since(change string) string {
	seen, err := strconv.ParseUint(change, 10, 64)
	s.c.Assert(err, qt.IsNil)
	signals, _ := s.b.Since(seen, func(from Source) bool { return from != "d2" }, s.now)
	slices.SortFunc(signals, func(a, b Signal) int { return cmp.Compare(a.Backoff, b.Backoff) })
	var out []string
	for _, signal := range signals {
		text := string(signal.Instance)
		if signal.Leaving {
			text += " leaving"
		}
		if signal.Backoff > 0 {
			text += " backoff=" + signal.Backoff.String()
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ") + " from d1"
}
