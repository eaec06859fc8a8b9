package cluster

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestLives runs the lines of testdata/lives.txt, one after another:
//
//	reset                     a daemon that knows nothing takes the place of the one before
//	plan TERM                 it plans from now on
//	entry ID FIELDS           an entry is read
//	news ID FIELDS            the planner tells of an instance
//	report ID FIELDS          the instance answers a question that was asked at ASKED
//	silence ID FIELDS         it does not answer one
//	ended ID FIELDS           an order to the life with this birth ended
//	lose ID                   the planner tells that the instance is lost
//	expect ID FIELDS          checks what is known of it
//	serving N                 checks how many groups serve
//	due ID BOOL               checks whether it is to be asked again
//	unproven ID BOOL          checks whether the planner still has to ask it
//	services NAME             the configuration names this service
//
// FIELDS are service=NAME, born=SECOND, group=NAME, rank=N, state=STATE,
// asked=DURATION (from now) and outcome=OUTCOME.
func TestLives(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/lives.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	s := &livesScript{c: c, o: newTestOwner(t), reset: func() *owner { return newTestOwner(t) }}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.line = fmt.Sprintf("lives.txt:%d: %s", n, line)
			s.do(words)
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

type livesScript struct {
	c     *qt.C
	o     *owner
	reset func() *owner
	line  string
	feed  int64
}

// fields are what a line tells of an instance.
type fields struct {
	instance models.UpstreamInstance
	asked    time.Duration
	outcome  types.OrderOutcome
}

func (s *livesScript) parse(words []string) fields {
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

func (s *livesScript) do(words []string) {
	now, comment := time.Now(), qt.Commentf("%s", s.line)
	switch words[0] {
	case "reset":
		s.o, s.feed = s.reset(), 0
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
		s.c.Assert(fmt.Sprint(len(s.o.fleet.sound()["m"])), qt.Equals, words[1], comment)
		return
	}
	f := s.parse(words[1:2])
	if words[0] != "due" && words[0] != "unproven" {
		f = s.parse(words[1:])
	}
	id := f.instance.ID
	switch words[0] {
	case "entry":
		s.o.noteEntry(f.instance, now)
	case "news", "lose":
		s.feed++
		news := InstanceNews{Instance: f.instance, Lost: words[0] == "lose"}
		if news.Lost {
			news.Instance = s.o.fleet.instances[id].UpstreamInstance
		}
		s.o.handleNews(newsSeen{term: 1, feed: s.feed, at: now.Add(time.Millisecond), instances: []InstanceNews{news}})
	case "report":
		s.o.handleReport(reportEnded{instance: f.instance, asked: now.Add(f.asked)})
	case "silence":
		s.o.handleReport(reportEnded{instance: f.instance, asked: now.Add(f.asked), err: platform.ErrInvalidInstance})
	case "ended":
		order := types.GroupOrder{Kind: types.GroupJoin, Instance: id, Born: f.instance.StartedAt}
		s.o.handleOrderEnded(orderEnded{order: order, outcome: f.outcome, at: now})
	case "expect":
		got := s.o.fleet.instances[id]
		s.c.Assert(got, qt.IsNotNil, comment)
		s.c.Assert(got.StartedAt.Equal(f.instance.StartedAt), qt.IsTrue, qt.Commentf("%s: born %s", s.line, got.StartedAt))
		s.c.Assert(got.Group.Key, qt.Equals, f.instance.Group.Key, comment)
	case "due":
		k := s.o.fleet.instances[id]
		s.c.Assert(fmt.Sprint(!k.asked.IsZero()), qt.Equals, words[2], comment)
	case "unproven":
		s.c.Assert(fmt.Sprint(s.o.fleet.unproven(s.o.fleet.instances[id])), qt.Equals, words[2], comment)
	default:
		s.c.Fatalf("%s: no such command", s.line)
	}
}
