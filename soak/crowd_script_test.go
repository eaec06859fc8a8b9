package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// crowd is a set of callers that don't behave, all at the same time.
type crowd struct {
	name string
	// descriptors is the daemon's limit of descriptors.
	descriptors int
	// beside is set if others must be answered while the crowd stays.
	beside bool
	groups []crowdGroup
}

// crowdGroup is a number of connections that do the same, to the address for callers or for readiness checks.
type crowdGroup struct {
	ready bool
	count int
	steps []crowdStep
}

// crowdStep is what a connection does. It is one of the types below.
type crowdStep interface{ isCrowdStep() }

// setWindow sets the size of the connection's receive buffer.
type setWindow struct{ bytes int }

// sendHead sends the head of a request without its end.
type sendHead struct{ method, path string }

// sendText sends a text at once, sendPieces a number of times at an interval.
type sendText struct{ text string }

type sendPieces struct {
	count    int
	interval time.Duration
	text     string
}

// sendAhead sends a number of requests without reading the answers.
type sendAhead struct {
	count int
	sendHead
}

// sendPair sends a request without a body and, in the same write, the head of another one with a number of short fields
// of different names, and a body that lacks its end.
type sendPair struct {
	fields int
	sendHead
}

// readAll reads until the daemon closes the connection, readSlowly a byte at an interval.
type readAll struct{}

type readSlowly struct{ interval time.Duration }

// expectServed reads an answer, which must be the instance's.
type expectServed struct{}

func (setWindow) isCrowdStep()    {}
func (sendHead) isCrowdStep()     {}
func (sendText) isCrowdStep()     {}
func (sendPieces) isCrowdStep()   {}
func (sendPair) isCrowdStep()     {}
func (readAll) isCrowdStep()      {}
func (readSlowly) isCrowdStep()   {}
func (expectServed) isCrowdStep() {}

// readCrowds reads testdata/crowds.txt.
func readCrowds(c *qt.C) []crowd {
	text, err := os.ReadFile("testdata/crowds.txt")
	c.Assert(err, qt.IsNil)
	var crowds []crowd
	for line := range strings.Lines(string(text)) {
		line = strings.TrimRight(line, "\n")
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch {
		case verb == "" || strings.HasPrefix(verb, "#"):
		case verb == "crowd":
			var next crowd
			next.beside = strings.HasSuffix(rest, " beside")
			scan(c, line, strings.TrimSuffix(rest, " beside"), "%s %d", &next.name, &next.descriptors)
			crowds = append(crowds, next)
		case strings.HasPrefix(line, "\t"):
			groups := crowds[len(crowds)-1].groups
			last := &groups[len(groups)-1]
			last.steps = append(last.steps, readStep(c, line, verb, rest))
		default:
			c.Assert(verb, qt.Matches, "callers|ready", qt.Commentf("%s", line))
			group := crowdGroup{ready: verb == "ready"}
			scan(c, line, rest, "%d", &group.count)
			last := &crowds[len(crowds)-1]
			last.groups = append(last.groups, group)
		}
	}
	return crowds
}

func readStep(c *qt.C, line, verb, rest string) crowdStep {
	var count int
	var interval, text string
	var head sendHead
	switch verb {
	case "window":
		scan(c, line, rest, "%d", &count)
		return setWindow{count}
	case "head":
		scan(c, line, rest, "%s %s", &head.method, &head.path)
		return head
	case "write":
		scan(c, line, rest, "%d %q", &count, &text)
		return sendText{strings.Repeat(text, count)}
	case "drip":
		scan(c, line, rest, "%d %s %q", &count, &interval, &text)
		return sendPieces{count, duration(c, line, interval), text}
	case "ahead":
		scan(c, line, rest, "%d %s %s", &count, &head.method, &head.path)
		return sendAhead{count, head}
	case "pair":
		scan(c, line, rest, "%d %s %s", &count, &head.method, &head.path)
		return sendPair{count, head}
	case "read":
		return readAll{}
	case "trickle":
		return readSlowly{duration(c, line, rest)}
	case "served":
		return expectServed{}
	}
	c.Fatalf("unknown step: %s", line)
	return nil
}

func scan(c *qt.C, line, text, format string, fields ...any) {
	_, err := fmt.Sscanf(text, format, fields...)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
}

func duration(c *qt.C, line, text string) time.Duration {
	d, err := time.ParseDuration(text)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
	return d
}
