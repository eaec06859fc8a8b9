package soak

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// surgeCallers is the number of callers that stream from one model in a surge: more than its
	// groups have slots at the declared split.
	surgeCallers = 80
	// surgeOutputTokens is the number of tokens that these callers accept. The planner assumes 0.45 of
	// it, which at the small model's pace takes as long as the streams of the simulated engines.
	surgeOutputTokens = 250
	// surgeBegins and surgeEnds are the times of the first surge.
	surgeBegins = time.Second
	surgeEnds   = 3 * time.Second
	// shiftedBy is the number of groups that a model has to get in a surge.
	shiftedBy = 2
	// shiftTimeout is how long the split may take to follow a surge after the faults.
	shiftTimeout = 8 * time.Second
)

// surge is a set of callers that stream from one model.
type surge struct {
	done chan struct{}
	wg   sync.WaitGroup
}

// startSurge starts callers that stream from a model, spread over the daemons.
func (c *callerLoad) startSurge(model string) *surge {
	s := &surge{done: make(chan struct{})}
	for n := range surgeCallers {
		s.wg.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-s.done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r := newRequest(kindStream, model)
				r.outputTokens = surgeOutputTokens
				if c.request(client, c.s.daemons[n%len(c.s.daemons)], r).status == http.StatusOK {
					continue
				}
				// Rejected callers pause, as Retry-After tells them to.
				select {
				case <-s.done:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	return s
}

func (s *surge) stop() {
	close(s.done)
	s.wg.Wait()
}

// shiftedGroups is the number of groups of each model up to which a surge has to shift the split. At
// the declared split, each of the four domains of seven instances has one large and two small groups.
var shiftedGroups = map[string]int{"big": 6, "small": 9}

// surges are two surges, one after the other: of one model while faults are injected, and of the
// other model from surgeEnds on until the split has followed.
type surges struct {
	s      *site
	model  string
	begun  chan struct{}
	second *surge
	before int
}

// startSurges starts the surges. The seed determines which model's is the first.
func (c *callerLoad) startSurges(seed uint64) *surges {
	first, second := "big", "small"
	if seed%2 == 0 {
		first, second = second, first
	}
	out := &surges{s: c.s, model: second, begun: make(chan struct{})}
	go func() {
		defer close(out.begun)
		time.Sleep(surgeBegins)
		load := c.startSurge(first)
		time.Sleep(surgeEnds - surgeBegins)
		load.stop()
		out.before = out.groups()
		out.second = c.startSurge(second)
	}()
	return out
}

func (u *surges) groups() int { return u.s.pool.ServingGroups(models.ModelName(u.model)) }

// awaitShift waits, after the faults have ended, until the split follows the second surge, and ends
// the surge.
func (u *surges) awaitShift() split {
	<-u.begun
	began := time.Now()
	out := split{model: u.model, before: u.before, want: max(u.before, min(u.before+shiftedBy, shiftedGroups[u.model]))}
	for time.Since(began) < shiftTimeout && u.groups() < out.want {
		time.Sleep(50 * time.Millisecond)
	}
	out.after, out.took = u.groups(), time.Since(began)
	u.second.stop()
	for _, d := range u.s.daemons {
		// A log that can't be read counts as one without waits.
		text, _ := os.ReadFile(filepath.Join(u.s.logs, d.name+".log"))
		for _, event := range []string{"request-waited", "request-rejected"} {
			out.waited += strings.Count(string(text), "event="+event+" ")
		}
	}
	return out
}

// split is how the split followed a surge of a model: its groups before and after, and how many it
// had to have. waited is the number of requests that waited for long or were rejected.
type split struct {
	model               string
	before, after, want int
	took                time.Duration
	waited              int
}

func (s split) String() string {
	return fmt.Sprintf("%d waited or rejected, %d to %d %s groups, %s after the faults", s.waited, s.before, s.after, s.model, s.took.Round(time.Millisecond))
}

// violations returns what the split and the queues violated.
func (s split) violations() (out []string) {
	if s.after < s.want {
		out = append(out, fmt.Sprintf("the split does not follow a surge within %s, want %d groups: %s", shiftTimeout, s.want, s))
	}
	if s.waited == 0 {
		out = append(out, "no request waited or was rejected in the surges")
	}
	return out
}
