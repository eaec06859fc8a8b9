package fleet

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
)

// replay is a day of a site: its loads and what goes wrong, from a line of
// testdata/replays.txt.
type replay struct {
	name               string
	domains, perDomain int
	large, small       int
	// rateLarge and rateSmall are the requests a second of the two models.
	rateLarge, rateSmall float64
	// lose instances of groups are lost each loseEvery; empty ones come later.
	lose      int
	loseEvery time.Duration
	// burst is by how much more the smaller model is asked while burstFrom to burstTo,
	// dark when one domain falls silent and comes back.
	burst     float64
	burstTime span
	dark      []span
	length    time.Duration
	// most bounds what came of it.
	most replayed
}

// span is a time of a day, from its first request.
type span struct{ from, to time.Duration }

func (s span) holds(at time.Duration) bool { return at >= s.from && at < s.to }

const (
	// replayLead is how long before the first request the instances are there.
	replayLead = 12 * time.Second
	// noticedAfter is how long a loss goes unnoticed, comesAfter when an empty instance
	// takes the place of a lost one.
	noticedAfter = 400 * time.Millisecond
	comesAfter   = 4 * time.Second
	// loadsPart is for how many instances the weight store gives one place, and one load a
	// second.
	loadsPart = 8
	// entryStays is how long the entry of a lost instance stays.
	entryStays = 3600 * time.Millisecond
)

// replayProfile is that of engines which run 30 requests at once.
func (r replay) profile() *models.EngineProfile {
	return &models.EngineProfile{
		Slots: 30, Step: 5950 * time.Microsecond, PerRequest: 45 * time.Microsecond, ReadPerSecond: 50700, Stride: 7,
		LoadsPerSecond: float64(r.domains*r.perDomain) / loadsPart, LoadsAtOnce: r.domains * r.perDomain / loadsPart, FormTime: 300 * time.Millisecond,
		Models: []models.ModelProfile{
			{Name: "big", Size: r.large, Share: 0.5, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: r.small, Share: 0.5, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

// loadAt is what callers ask at a time of the day.
func (r replay) loadAt(at time.Duration) map[models.ModelName]Load {
	rate := r.rateSmall
	if r.burstTime.holds(at) {
		rate *= r.burst
	}
	return map[models.ModelName]Load{
		"big":   r.load(0, r.rateLarge, 1676, 113, 340*time.Millisecond),
		"small": r.load(1, rate, 714, 200, 200*time.Millisecond),
	}
}

func (r replay) load(model int, rate, prompt, answer float64, aim time.Duration) Load {
	engine := r.profile()
	pace := engine.Models[model].Pace
	adds := rate * (prompt/engine.ReadPerSecond + answer*engine.PerRequest.Seconds()) * pace
	steps := rate * answer * engine.Step.Seconds() * pace / float64(engine.Slots) * 2
	return Load{Groups: adds + steps, Shared: adds / (adds + steps), Rate: rate, Prompt: prompt, Aim: aim}
}

// replayed is what came of a day, in a hundred: the requests of each model that were
// late, and the instances that were in no group that served.
type replayed struct{ large, small, idle float64 }

// play plays the day.
func (r replay) play(seed uint64) (replayed, []string) {
	s := newSim(r.profile(), seed)
	s.cheapLoads, s.closing, s.notices = true, 2*time.Second, noticedAfter
	s.callers = func() map[models.ModelName]Load { return r.loadAt(s.now.Sub(time.Unix(0, 0)) - replayLead) }
	for d := range r.domains {
		name := fmt.Sprintf("d%d", d)
		for range r.perDomain {
			s.add(s.freshID(name), models.Domain(name), models.Zone(fmt.Sprintf("z%d", d%3)))
		}
	}
	s.newPlanner(1)
	s.run(replayLead)
	s.traffic = true
	var sum replayed
	samples, next := 0, r.loseEvery
	for at := time.Duration(0); at < r.length; at += 2 * simStep {
		if r.loseEvery > 0 && at >= next {
			next += r.loseEvery
			for range r.lose {
				s.replace(s.lose())
			}
		}
		for n, dark := range r.dark {
			s.darken(models.Domain(fmt.Sprintf("d%d", n)), dark.holds(at))
		}
		s.run(2 * simStep)
		s.settleDead()
		now := s.feltNow()
		sum = replayed{sum.large + now.large, sum.small + now.small, sum.idle + now.idle}
		samples++
	}
	n := float64(samples)
	return replayed{100 * sum.large / n, 100 * sum.small / n, 100 * sum.idle / n}, s.broken
}

// lose kills a member of a group that serves.
func (s *sim) lose() *simInstance {
	var members []models.InstanceID
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[id]
		if !i.dead && (i.Group.State == models.MemberOpen || i.Group.State == models.MemberReady) {
			members = append(members, id)
		}
	}
	lost := s.instances[members[s.rand.IntN(len(members))]]
	lost.dead = true
	return lost
}

// replace has an empty instance come in the place of one that was lost.
func (s *sim) replace(lost *simInstance) {
	s.due = append(s.due, dueInstance{s.now.Add(entryStays), lost.ID, ""}, dueInstance{s.now.Add(comesAfter), "", lost.Domain})
}

// dueInstance is an entry that goes or an empty instance that comes.
type dueInstance struct {
	at   time.Time
	gone models.InstanceID
	in   models.Domain
}

func (s *sim) settleDead() {
	s.due = slices.DeleteFunc(s.due, func(d dueInstance) bool {
		if s.now.Before(d.at) {
			return false
		}
		if d.gone != "" {
			delete(s.instances, d.gone)
		} else {
			s.add(s.freshID(string(d.in)), d.in, "z")
		}
		return true
	})
}

// darken cuts a domain off, or brings it back without its groups.
func (s *sim) darken(domain models.Domain, dark bool) {
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		if i := s.instances[id]; i.Domain == domain && i.cut != dark {
			i.cut = dark
			if !dark {
				s.restart(i)
			}
		}
	}
}

// feltNow is what callers feel with the whole groups that serve now.
func (s *sim) feltNow() replayed {
	out, have := replayed{}, 0
	loads := s.callers()
	for _, m := range s.profile.Models {
		n := s.serving(m.Name)
		have += n * m.Size
		late := min(1, loads[m.Name].late(s.profile, m, float64(n)))
		if m.Name == "big" {
			out.large = late
		} else {
			out.small = late
		}
	}
	out.idle = 1 - float64(have)/float64(len(s.instances))
	return out
}

// TestReplays plays the days in testdata/replays.txt and bounds what callers feel.
func TestReplays(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/replays.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		r := parseReplay(c, line)
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			const seeds = 2
			var mean replayed
			for seed := range uint64(seeds) {
				got, broken := r.play(seed + 1)
				qt.Assert(t, broken, qt.HasLen, 0)
				mean = replayed{mean.large + got.large/seeds, mean.small + got.small/seeds, mean.idle + got.idle/seeds}
			}
			t.Logf("late %.1f and %.1f, idle %.1f", mean.large, mean.small, mean.idle)
			qt.Check(t, mean.large <= r.most.large, qt.IsTrue, qt.Commentf("late of the larger model: %.1f", mean.large))
			qt.Check(t, mean.small <= r.most.small, qt.IsTrue, qt.Commentf("late of the smaller model: %.1f", mean.small))
			qt.Check(t, mean.idle <= r.most.idle, qt.IsTrue, qt.Commentf("idle: %.1f", mean.idle))
		})
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func parseReplay(c *qt.C, line string) replay {
	words := strings.Fields(line)
	r := replay{name: words[0], burst: 1}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch name {
		case "site":
			_, err = fmt.Sscanf(value, "%dx%d:%d,%d", &r.domains, &r.perDomain, &r.large, &r.small)
		case "rates":
			_, err = fmt.Sscanf(value, "%f,%f", &r.rateLarge, &r.rateSmall)
		case "lose":
			var every string
			_, err = fmt.Sscanf(value, "%d/%s", &r.lose, &every)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
			r.loseEvery, err = time.ParseDuration(every)
		case "burst":
			var when string
			_, err = fmt.Sscanf(value, "%f@%s", &r.burst, &when)
			r.burstTime = parseSpan(c, when)
		case "dark":
			r.dark = append(r.dark, parseSpan(c, value))
		case "length":
			r.length, err = time.ParseDuration(value)
		case "most":
			_, err = fmt.Sscanf(value, "%f,%f,%f", &r.most.large, &r.most.small, &r.most.idle)
		default:
			c.Fatalf("%s: no field %s", line, name)
		}
		c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
	}
	return r
}

func parseSpan(c *qt.C, text string) span {
	from, to, _ := strings.Cut(text, "-")
	a, err := time.ParseDuration(from)
	c.Assert(err, qt.IsNil)
	b, err := time.ParseDuration(to)
	c.Assert(err, qt.IsNil)
	return span{a, b}
}
