package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// maxTotalShare is the maximum for the sum of all granters' shares, averaged over any 4 s: an
// instance accepts 1.5 times its limit for that long.
const maxTotalShare = 1.5

// Whatever sequence of kills, starts, stopped processes, partitions and heals occurs, the shares of all granters of
// permits together stay within what an instance accepts. Three daemons per zone form a full mesh,
// eight use relays.
func TestSharesInMadeUpHistories(t *testing.T) {
	for _, perZone := range []int{3, 8} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			c := qt.New(t)
			rapid.Check(t, func(t *rapid.T) {
				zones := []models.Zone{"a", "b", "c"}
				s := &simulation{
					c: c, now: time.Unix(1_000_000, 0), byID: map[models.DaemonID]*daemon{},
					cut: map[models.Zone]bool{}, granted: map[models.Zone][]float64{}, registered: map[models.DaemonID]bool{},
				}
				for _, zone := range zones {
					s.add(zone, perZone, rapid.IntRange(0, perZone).Draw(t, "strong"))
				}
				s.exec("start", nil)
				s.exec("run", []string{"4s"})
				for range rapid.IntRange(1, 8).Draw(t, "steps") {
					zone := string(rapid.SampledFrom(zones).Draw(t, "zone"))
					switch verb := rapid.SampledFrom([]string{"kill", "kill", "kill all", "start", "start", "cut", "heal", "stop", "stop", "continue", "continue"}).Draw(t, "verb"); verb {
					case "kill all":
						s.exec("kill", []string{"all"})
						s.exec("start", nil)
					case "kill", "stop":
						if s.countRunning(models.Zone(zone)) > 0 {
							s.exec(verb, []string{zone, "1"})
						}
					default:
						s.exec(verb, []string{zone})
					}
					s.exec("run", []string{fmt.Sprint(rapid.IntRange(50, 4000).Draw(t, "ms"), "ms")})
				}
				for zone, worst := range s.worstGranted() {
					if worst > maxTotalShare {
						t.Fatalf("zone %s: %.2f of the rate granted", zone, worst)
					}
				}
			})
		})
	}
}

// countRunning returns the number of running daemons of a zone.
func (s *simulation) countRunning(zone models.Zone) int {
	n := 0
	for _, d := range s.daemons {
		if d.up && !d.stopped && d.Zone == zone {
			n++
		}
	}
	return n
}
