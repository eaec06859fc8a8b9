package admission

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestScripts runs the scripts in testdata. Each line is a command, an expectation or a comment,
// which begins with "#" and may say which failure the lines below guard against:
//
//	capacity NAME=VALUE...  sets first (FirstEvent), intime, slots, age, deciders, rate, completions;
//	                        what is not named is 0
//	add ID NAME=VALUE...    adds a request: at, due and deadline since the start, rank, continues
//	remove ID               removes a request
//	decide TIME             decides the queue; the lines that follow hold all decisions in order:
//	> ID run
//	> ID wait TIME          until this time since the start
//	> ID reject REASON MIN MAX
//	                        REASON is deadline, late or full; Retry-After is from MIN to MAX
//	chance N MIN MAX        adds the last request to N fresh queues, and checks that the fraction of
//	                        them that admit it at its arrival is from MIN to MAX
//	reset                   starts with an empty queue
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			s := &script{C: qt.New(t), queue: NewQueue(DefaultPolicy()), random: rand.New(rand.NewPCG(1, 2))}
			for n, line := range strings.Split(string(text), "\n") {
				s.line = fmt.Sprintf("%s:%d: %s", file, n+1, line)
				if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
					s.run(words)
				}
			}
			s.checkDone()
		})
	}
}

// script is the state of a running script.
type script struct {
	*qt.C
	queue    *Queue
	random   *rand.Rand
	capacity Capacity
	last     Request
	pending  []Decision
	now      time.Time
	line     string
}

// origin is the time at which scripts start.
var origin = time.Unix(1_000_000, 0)

func (s *script) run(words []string) {
	if words[0] != ">" {
		s.checkDone()
	}
	switch words[0] {
	case "capacity":
		s.capacity = s.parseCapacity(words[1:])
	case "add":
		s.last = s.parseRequest(words[1], words[2:])
		s.queue.Add(s.last)
	case "remove":
		s.queue.Remove(uint64(s.number(words[1])))
	case "decide":
		s.now = origin.Add(s.duration(words[1]))
		s.pending = s.queue.Decide(s.now, s.capacity, s.random)
	case "chance":
		s.checkChance(words[1:])
	case "reset":
		s.queue = NewQueue(DefaultPolicy())
	case ">":
		s.checkDecision(words[1:])
	default:
		s.Fatalf("%s: unknown command", s.line)
	}
}

// checkDone checks that all decisions were expected.
func (s *script) checkDone() {
	s.Assert(s.pending, qt.HasLen, 0, qt.Commentf("unexpected decisions before %s", s.line))
}

func (s *script) checkDecision(words []string) {
	comment := qt.Commentf("%s", s.line)
	s.Assert(s.pending, qt.Not(qt.HasLen), 0, comment)
	got := s.pending[0]
	s.pending = s.pending[1:]
	s.Assert(got.ID, qt.Equals, uint64(s.number(words[0])), comment)
	switch v := got.Verdict.(type) {
	case Run:
		s.Assert(words[1:], qt.DeepEquals, []string{"run"}, comment)
	case Wait:
		s.Assert(words[1:], qt.DeepEquals, []string{"wait", v.Until.Sub(origin).String()}, comment)
	case Reject:
		s.Assert(words, qt.HasLen, 5, qt.Commentf("%s: got %v", s.line, v))
		s.Assert(words[1:3], qt.DeepEquals, []string{"reject", reasonName(v.Reason)}, comment)
		inRange := v.RetryAfter >= s.duration(words[3]) && v.RetryAfter <= s.duration(words[4])
		s.Assert(inRange, qt.IsTrue, qt.Commentf("%s: got %v", s.line, v.RetryAfter))
	}
}

func reasonName(reason error) string {
	for name, err := range map[string]error{"deadline": ErrDeadline, "late": ErrLate, "full": ErrFull} {
		if errors.Is(reason, err) {
			return name
		}
	}
	return fmt.Sprint(reason)
}

func (s *script) checkChance(words []string) {
	n, admitted := int(s.number(words[0])), 0
	for range n {
		q := NewQueue(DefaultPolicy())
		q.Add(s.last)
		for _, d := range q.Decide(s.last.Arrived, s.capacity, s.random) {
			if _, runs := d.Verdict.(Run); runs {
				admitted++
			}
		}
	}
	share := float64(admitted) / float64(n)
	s.Assert(share >= s.number(words[1]) && share <= s.number(words[2]), qt.IsTrue, qt.Commentf("%s: got %v", s.line, share))
}

func (s *script) parseCapacity(words []string) (c Capacity) {
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "first":
			c.FirstEvent = s.duration(value)
		case "intime":
			c.SlotsInTime = int(s.number(value))
		case "slots":
			c.Slots = int(s.number(value))
		case "age":
			c.LoadsAge = s.duration(value)
		case "deciders":
			c.Deciders = int(s.number(value))
		case "rate":
			c.Rate = s.number(value)
		case "completions":
			c.Completions = s.number(value)
		default:
			s.Fatalf("%s: unknown name %q", s.line, name)
		}
	}
	return c
}

func (s *script) parseRequest(id string, words []string) Request {
	r := Request{ID: uint64(s.number(id)), Arrived: origin, Due: origin, Deadline: origin}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "at":
			r.Arrived = origin.Add(s.duration(value))
		case "due":
			r.Due = origin.Add(s.duration(value))
		case "deadline":
			r.Deadline = origin.Add(s.duration(value))
		case "rank":
			r.Rank = int(s.number(value))
		case "continues":
			r.Continues = true
		default:
			s.Fatalf("%s: unknown name %q", s.line, name)
		}
	}
	return r
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	s.Assert(err, qt.IsNil, qt.Commentf("%s", s.line))
	return d
}

func (s *script) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	s.Assert(err, qt.IsNil, qt.Commentf("%s", s.line))
	return n
}
