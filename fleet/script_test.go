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
		Slots: 17, LoadsPerSecond: 5, MaxConcurrentLoads: 7, FormTime: 300 * time.Millisecond, PrefillTokensPerSecond: 45900,
		StepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, StepsPerSend: 6,
		Models: []models.ModelProfile{
			{Name: "big", GroupSize: 4, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

// TestScripts runs the scripts in testdata. Each line is a command:
//
//	domain NAME ZONE N      add N empty instances, NAME-1 and so on
//	planner TERM            start a planner; earlier planners keep running
//	only TERM               stop all planners but this one
//	traffic                 requests arrive from now on, and loads are limited
//	late FRACTION           from now on this fraction of the orders is
//	                        not answered and executed late
//	demand MODEL FRACTION   set the fraction of the instances that a model needs
//	in-flight MODEL N       set the requests in flight in the model's groups
//	rate MODEL N            set the model's requests per second; without it they fill half of the
//	                        slots of the instances that it needs
//	loads-at-once N         set how many loads the weight store serves at once, which selects how
//	                        conversions are chosen
//	run DURATION            advance the time
//	kill ID...              kill the instances
//	gone ID...              remove the entries of the instances
//	drain ID...             set the instances to draining
//	restart ID...           restart the instances under the same IDs
//	restart-heads MODEL N   restart the heads of N serving groups
//	restart-members MODEL N restart a member other than the head in N serving groups
//	suspect ID...           planners consider the instances unreachable
//	trust ID...             planners consider them reachable again
//	evacuate ZONE...        operators evacuate these zones and no others
//	serving MODEL OP N      check the number of complete serving groups
//	staged MODEL OP N       check the number of hosts that have the model's weights
//	idle OP N               check the number of instances in no complete serving group
//	cold OP N               check the number of instances without weights
//	loads OP N              check the highest number of loads started within 5 s
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
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := s.command(fields); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, n, line, err)
		}
		if len(s.violations) > 0 {
			t.Fatalf("%s:%d: %s: invariant violated: %s", file, n, line, s.violations[0])
		}
	}
	qt.Assert(t, lines.Err(), qt.IsNil)
}

func (s *sim) command(fields []string) error {
	ids := make([]models.InstanceID, 0, len(fields))
	for _, w := range fields[1:] {
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
	switch fields[0] {
	case "domain", "planner", "only", "late", "demand", "in-flight", "rate", "loads-at-once", "run":
		return s.numericCommand(fields)
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
		return s.restartMembers(models.ModelName(fields[1]), fields[0] == "restart-heads", fields[2])
	case "drain":
		return each(func(i *simInstance) { i.Draining = true })
	case "suspect":
		return each(func(i *simInstance) { s.suspected[i.ID] = true })
	case "trust":
		return each(func(i *simInstance) { delete(s.suspected, i.ID) })
	case "evacuate":
		s.evacuated = map[models.Zone]bool{}
		for _, zone := range fields[1:] {
			s.evacuated[models.Zone(zone)] = true
		}
	case "serving":
		return compare(s.serving(models.ModelName(fields[1])), fields[2], fields[3])
	case "idle":
		idle := len(s.instances)
		for _, m := range s.profile.Models {
			idle -= s.serving(m.Name) * m.GroupSize
		}
		return compare(idle, fields[1], fields[2])
	case "cold":
		n := 0
		for _, i := range s.instances {
			if i.LoadedModel == "" && len(i.StagedModels) == 0 {
				n++
			}
		}
		return compare(n, fields[1], fields[2])
	case "staged":
		n := 0
		for _, i := range s.instances {
			if !i.dead && IsWarm(i.UpstreamInstance, models.ModelName(fields[1])) {
				n++
			}
		}
		return compare(n, fields[2], fields[3])
	case "loads":
		return compare(s.mostLoads(loadWindow), fields[1], fields[2])
	default:
		return fmt.Errorf("unknown command %q", fields[0])
	}
	return nil
}

// restartMembers restarts the head or another member of the given number of serving groups.
func (s *sim) restartMembers(model models.ModelName, heads bool, count string) error {
	n, err := strconv.Atoi(count)
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
		return fmt.Errorf("%d groups are missing", n)
	}
	return nil
}

// numericCommand executes the commands that take a number or a duration.
func (s *sim) numericCommand(fields []string) error {
	last := fields[len(fields)-1]
	if fields[0] == "run" {
		d, err := time.ParseDuration(last)
		s.run(d)
		return err
	}
	number, err := strconv.ParseFloat(last, 64)
	if err != nil {
		return err
	}
	switch fields[0] {
	case "domain":
		for n := range int(number) {
			id := models.InstanceID(fmt.Sprintf("%s-%d", fields[1], n+1))
			for s.instances[id] != nil {
				id += "x"
			}
			s.add(id, models.Domain(fields[1]), models.Zone(fields[2]))
		}
	case "planner":
		s.newPlanner(int64(number))
	case "only":
		kept := s.planners[:0]
		for _, p := range s.planners {
			if p.term == int64(number) {
				kept = append(kept, p)
			}
		}
		s.planners = kept
	case "late":
		s.lateFraction = number
	case "demand":
		s.demand[models.ModelName(fields[1])] = number
	case "loads-at-once":
		s.profile.MaxConcurrentLoads = int(number)
	case "rate":
		s.rates[models.ModelName(fields[1])] = number
	case "in-flight":
		s.requests[models.ModelName(fields[1])] = number
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
		return fmt.Errorf("got %d", got)
	}
	return nil
}
