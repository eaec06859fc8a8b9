package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// BenchmarkStep is one round of a planner that finds all well, as most are. With 222
// instances in 6 fabric domains, 760 in 40 and 3,000 in 81 it took 1.2, 17.7 and 82 ms
// where what is formed elsewhere was reckoned anew for each domain in each round, and
// takes 0.8, 2.5 and 15 ms. (With rules for each model's need it took 0.6, 4.5 and 28.)
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{6, 37}, {40, 19}, {81, 37}} {
		b.Run(fmt.Sprint(size.domains*size.perDomain), func(b *testing.B) {
			r := replay{domains: size.domains, perDomain: size.perDomain, large: 8, small: 4}
			scale := float64(size.domains*size.perDomain) / 222
			r.rateLarge, r.rateSmall = 80*scale, 423*scale
			s := newSim(r.profile(), 1)
			s.cheapLoads = true
			s.callers = func() map[models.ModelName]Load { return r.loadAt(0) }
			for d := range r.domains {
				name := fmt.Sprintf("d%02d", d)
				for n := range r.perDomain {
					s.add(models.InstanceID(fmt.Sprintf("%s-%d", name, n)), models.Domain(name), models.Zone(fmt.Sprintf("z%d", d%3)))
				}
			}
			s.newPlanner(1)
			s.run(10 * time.Second)
			s.traffic = true
			s.run(6 * time.Second)
			w := s.world()
			for b.Loop() {
				w.Now = w.Now.Add(simStep)
				s.planners[0].Step(w)
			}
		})
	}
}
