package fleet

import (
	"bufio"
	"fmt"
	"maps"
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

func testProfile() *models.EngineProfile {
	return &models.EngineProfile{
		Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7, FormTime: 300 * time.Millisecond, ReadPerSecond: 45900,
		Models: []models.ModelProfile{
			{Name: "big", Size: 4, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// TestScripts runs the scripts in testdata. Each line is a command:
//
//	domain NAME ZONE N      adds N empty instances, NAME-1 and so on
//	planner TERM            starts a planner; earlier ones go on
//	only TERM               stops all planners but this one
//	traffic                 from now on loads count
//	late PART               from now on this part of the orders goes
//	                        unanswered and is carried out late
//	demand MODEL PART       the part of the instances that a model needs
//	busy MODEL N            the requests that its groups have
//	run DURATION            lets time pass
//	kill ID...              the instances are gone without a word
//	gone ID...              and so are their entries
//	drain ID...             the instances are leaving
//	restart ID...           the instances start again under their ids
//	restart-heads MODEL N   so do heads of N groups that serve, restart-members
//	                        the same with another member of each
//	suspect ID...           planners take the instances for lost
//	trust ID...             and not any more
//	serving MODEL OP N      checks how many whole groups serve
//	staged MODEL OP N       checks on how many hosts a model lies
//	idle OP N               checks how many instances are in no whole group that serves
//	cold OP N               checks how many have no model's weights
//	loads OP N              checks how many loads began within 5 s at most
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	f, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	s := newSim(testProfile(), 1)
	s.demand["big"], s.demand["small"] = 0.5, 0.5
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.command(words); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, n, line, err)
		}
		if len(s.broken) > 0 {
			t.Fatalf("%s:%d: %s: a rule is broken: %s", file, n, line, s.broken[0])
		}
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
}

func (s *sim) command(words []string) error {
	ids := make([]models.InstanceID, 0, len(words))
	for _, w := range words[1:] {
		ids = append(ids, models.InstanceID(w))
	}
	each := func(change func(*simInstance)) error {
		for _, id := range ids {
			if s.instances[id] == nil {
				return fmt.Errorf("no instance %s", id)
			}
			change(s.instances[id])
		}
		return nil
	}
	switch words[0] {
	case "domain", "planner", "only", "late", "demand", "busy", "run":
		return s.set(words)
	case "traffic":
		s.traffic = true
	case "kill":
		return each(func(i *simInstance) { i.dead = true })
	case "gone":
		for _, id := range ids {
			delete(s.instances, id)
		}
	case "restart":
		return each(s.restart)
	case "restart-heads", "restart-members":
		return s.restartIn(models.ModelName(words[1]), words[0] == "restart-heads", words[2])
	case "drain":
		return each(func(i *simInstance) { i.Draining = true })
	case "suspect":
		return each(func(i *simInstance) { s.suspected[i.ID] = true })
	case "trust":
		return each(func(i *simInstance) { delete(s.suspected, i.ID) })
	case "serving":
		return compare(s.serving(models.ModelName(words[1])), words[2], words[3])
	case "idle":
		idle := len(s.instances)
		for _, m := range s.profile.Models {
			idle -= s.serving(m.Name) * m.Size
		}
		return compare(idle, words[1], words[2])
	case "cold":
		n := 0
		for _, i := range s.instances {
			if i.Loaded == "" && len(i.Staged) == 0 {
				n++
			}
		}
		return compare(n, words[1], words[2])
	case "staged":
		n := 0
		for _, i := range s.instances {
			if !i.dead && IsWarm(i.UpstreamInstance, models.ModelName(words[1])) {
				n++
			}
		}
		return compare(n, words[2], words[3])
	case "loads":
		return compare(s.mostLoads(loadWindow), words[1], words[2])
	default:
		return fmt.Errorf("no command %q", words[0])
	}
	return nil
}

// restartIn has a member of some groups that serve start again.
func (s *sim) restartIn(model models.ModelName, heads bool, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		head := s.instances[id]
		if n == 0 || head.Group.State != models.MemberOpen || ModelOf(head.Group.Key.Name) != model {
			continue
		}
		if !heads {
			head = s.instances[head.members[1]]
		}
		s.restart(head)
		n--
	}
	if n > 0 {
		return fmt.Errorf("%d groups too few", n)
	}
	return nil
}

// set carries out the commands that take numbers.
func (s *sim) set(words []string) error {
	last := words[len(words)-1]
	if words[0] == "run" {
		d, err := time.ParseDuration(last)
		s.run(d)
		return err
	}
	x, err := strconv.ParseFloat(last, 64)
	if err != nil {
		return err
	}
	switch words[0] {
	case "domain":
		for n := range int(x) {
			id := models.InstanceID(fmt.Sprintf("%s-%d", words[1], n+1))
			for s.instances[id] != nil {
				id += "x"
			}
			s.add(id, models.Domain(words[1]), models.Zone(words[2]))
		}
	case "planner":
		s.newPlanner(int64(x))
	case "only":
		kept := s.planners[:0]
		for _, p := range s.planners {
			if p.term == int64(x) {
				kept = append(kept, p)
			}
		}
		s.planners = kept
	case "late":
		s.latePart = x
	case "demand":
		s.demand[models.ModelName(words[1])] = x
	case "busy":
		s.busy[models.ModelName(words[1])] = x
	}
	return nil
}

func compare(got int, op, text string) error {
	want, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	ok := map[string]bool{"=": got == want, ">=": got >= want, "<=": got <= want}[op]
	if !ok {
		return fmt.Errorf("it is %d", got)
	}
	return nil
}
