package cluster

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestInstanceIncarnations runs the lines of testdata/incarnations.txt:
//
//	reset                     starts over with a new daemon
//	plan TERM                 the daemon becomes planner
//	entry ID FIELDS           an entry is read
//	update ID FIELDS          the planner sends an update of an instance
//	report ID FIELDS          the instance answers a probe that was sent at ASKED
//	timeout ID FIELDS         a probe of the instance fails
//	ended ID FIELDS           an order to the incarnation with this BORN is finished
//	lost ID                   the planner sends the loss of the instance
//	expect ID FIELDS          checks the known state of the instance
//	serving N                 checks the number of serving groups
//	due ID BOOL               checks whether the instance has been probed
//	unverified ID BOOL        checks whether the planner still has to probe the instance
//	services NAME             the configuration names this service only
//
// FIELDS are service=NAME, born=SECOND, group=NAME, rank=N, state=STATE, asked=DURATION (from now)
// and outcome=OUTCOME.
func TestInstanceIncarnations(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/incarnations.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	s := &incarnationScript{c: c, o: newTestOwner(t), reset: func() *owner { return newTestOwner(t) }}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.line = fmt.Sprintf("incarnations.txt:%d: %s", n, line)
			s.run(words)
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

type incarnationScript struct {
	c     *qt.C
	o     *owner
	reset func() *owner
	line  string
	seq   int64
}

// fields are the parsed fields of a line.
type fields struct {
	instance models.UpstreamInstance
	asked    time.Duration
	outcome  types.OrderOutcome
}

func (s *incarnationScript) parse(words []string) fields {
	f := fields{instance: models.UpstreamInstance{ID: models.InstanceID(words[0])}}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch name {
		case "born":
			var second int64
			_, err = fmt.Sscan(value, &second)
			f.instance.StartedAt = time.Unix(second, 0)
		case "group":
			f.instance.Group.Key = models.GroupKey{Name: models.GroupID(value)}
		case "service":
			f.instance.Service = models.ServiceName(value)
		case "rank":
			_, err = fmt.Sscan(value, &f.instance.Group.Rank)
		case "state":
			f.instance.Group.State = models.MemberState(value)
		case "asked":
			f.asked, err = time.ParseDuration(value)
		case "outcome":
			f.outcome = types.OrderOutcome(value)
		default:
			s.c.Fatalf("%s: no field %s", s.line, name)
		}
		s.c.Assert(err, qt.IsNil, qt.Commentf("%s", s.line))
	}
	return f
}

func (s *incarnationScript) run(words []string) {
	now, comment := time.Now(), qt.Commentf("%s", s.line)
	switch words[0] {
	case "reset":
		s.o, s.seq = s.reset(), 0
		s.o.config.routing = &models.Routing{}
		return
	case "plan":
		var term int64
		_, err := fmt.Sscan(words[1], &term)
		s.c.Assert(err, qt.IsNil, comment)
		s.o.config.routing = &models.Routing{}
		s.o.handleLease(leaseHeld{term: term, until: now.Add(time.Minute)})
		return
	case "services":
		s.o.fleet.services = map[models.ServiceName]models.UpstreamService{models.ServiceName(words[1]): {}}
		return
	case "serving":
		s.c.Assert(fmt.Sprint(len(slices.Concat(slices.Collect(maps.Values(s.o.fleet.healthyGroups()))...))), qt.Equals, words[1], comment)
		return
	}
	f := s.parse(words[1:2])
	if words[0] != "due" && words[0] != "unverified" {
		f = s.parse(words[1:])
	}
	id := f.instance.ID
	switch words[0] {
	case "entry":
		s.o.applyEntry(f.instance, now)
	case "update", "lost":
		s.seq++
		u := InstanceUpdate{Instance: f.instance, Lost: words[0] == "lost"}
		if u.Lost {
			u.Instance = s.o.fleet.instances[id].UpstreamInstance
		}
		s.o.handleUpdate(updateReceived{term: 1, seq: s.seq, receivedAt: now.Add(time.Millisecond), instances: []InstanceUpdate{u}})
	case "report":
		s.o.handleProbeResult(probeFinished{instance: f.instance, sentAt: now.Add(f.asked)})
	case "timeout":
		s.o.handleProbeResult(probeFinished{instance: f.instance, sentAt: now.Add(f.asked), err: platform.ErrInvalidInstance})
	case "ended":
		order := types.GroupOrder{Kind: types.GroupJoin, Instance: id, StartedAt: f.instance.StartedAt}
		s.o.handleOrderResult(orderFinished{order: order, outcome: f.outcome, finishedAt: now})
	case "expect":
		got := s.o.fleet.instances[id]
		s.c.Assert(got, qt.IsNotNil, comment)
		s.c.Assert(got.StartedAt.Equal(f.instance.StartedAt), qt.IsTrue, qt.Commentf("%s: born %s", s.line, got.StartedAt))
		s.c.Assert(got.Group.Key, qt.Equals, f.instance.Group.Key, comment)
	case "due":
		k := s.o.fleet.instances[id]
		s.c.Assert(fmt.Sprint(!k.probedAt.IsZero()), qt.Equals, words[2], comment)
	case "unverified":
		s.c.Assert(fmt.Sprint(s.o.fleet.unverified(s.o.fleet.instances[id])), qt.Equals, words[2], comment)
	default:
		s.c.Fatalf("%s: no such command", s.line)
	}
}
