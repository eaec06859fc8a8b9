package membership_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// mostShares is what all granters' shares may come to on average of any 4 s: an instance may
// get one and a half times its limit in such a time.
const mostShares = 1.5

// Whatever is killed, started, cut off and healed when, granters of permits together never
// come to more than an instance bears. With few daemons all tell each other, with more there
// are relays.
func TestSharesInMadeUpHistories(t *testing.T) {
	for _, perZone := range []int{3, 8} {
		t.Run(fmt.Sprint(perZone), func(t *testing.T) {
			c := qt.New(t)
			rapid.Check(t, func(t *rapid.T) {
				zones := []models.Zone{"a", "b", "c"}
				s := &site{
					c: c, now: time.Unix(1_000_000, 0), byID: map[models.DaemonID]*daemon{},
					cut: map[models.Zone]bool{}, granted: map[models.Zone][]float64{}, entered: map[models.DaemonID]bool{},
				}
				for _, zone := range zones {
					s.add(zone, perZone, rapid.IntRange(0, perZone).Draw(t, "strong"))
				}
				s.do("start", nil)
				s.do("run", []string{"4s"})
				for range rapid.IntRange(1, 8).Draw(t, "steps") {
					zone := string(rapid.SampledFrom(zones).Draw(t, "zone"))
					switch verb := rapid.SampledFrom([]string{"kill", "kill", "kill all", "start", "start", "cut", "heal"}).Draw(t, "verb"); verb {
					case "kill all":
						s.do("kill", []string{"all"})
						s.do("start", nil)
					case "kill":
						if s.running(models.Zone(zone)) > 0 {
							s.do("kill", []string{zone, "1"})
						}
					default:
						s.do(verb, []string{zone})
					}
					s.do("run", []string{fmt.Sprint(rapid.IntRange(50, 4000).Draw(t, "ms"), "ms")})
				}
				for zone, worst := range s.worstGranted() {
					if worst > mostShares {
						t.Fatalf("zone %s: %.2f of the rate granted", zone, worst)
					}
				}
			})
		})
	}
}

// running is how many daemons of a zone are up.
func (s *site) running(zone models.Zone) int {
	n := 0
	for _, d := range s.daemons {
		if d.up && d.Zone == zone {
			n++
		}
	}
	return n
}
