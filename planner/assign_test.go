package planner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// maxUsedBruteForce tries every way to fill the domains and returns the largest number of
// instances that can be in use.
func maxUsedBruteForce(domains []int, wanted []models.Model) int {
	if len(domains) == 0 {
		return 0
	}
	best := maxUsedBruteForce(domains[1:], wanted)
	for i, m := range wanted {
		if m.Replicas == 0 || m.Members > domains[0] {
			continue
		}
		rest := append([]models.Model(nil), wanted...)
		rest[i].Replicas--
		left := append([]int{domains[0] - m.Members}, domains[1:]...)
		best = max(best, m.Members+maxUsedBruteForce(left, rest))
	}
	return best
}

// TestAssignMatchesBruteForce compares the assignment with brute force for all inputs of up
// to three domains, eight instances and two models.
func TestAssignMatchesBruteForce(t *testing.T) {
	c := qt.New(t)
	for a := range 9 {
		for b := 0; a+b <= 8; b++ {
			for d := 0; a+b+d <= 8 && d <= b; d++ {
				checkAssignment(c, []int{a, b, d})
			}
		}
	}
}

func checkAssignment(c *qt.C, domains []int) {
	var supplies []supply
	for i, n := range domains {
		supplies = append(supplies, supply{domain: models.Domain(fmt.Sprint(i)), usable: n, accelerators: 1})
	}
	for sizes := range 16 {
		for replicas := range 9 {
			wanted := []models.Model{
				{Name: "m0", Members: 1 + sizes/4, Replicas: replicas / 3},
				{Name: "m1", Members: 1 + sizes%4, Replicas: replicas % 3},
			}
			target := assign(supplies, wanted, models.Policy{DowntimeWeight: 1, StrandedWeight: 1})
			if used, best := usedAccelerators(target, supplies, wanted), maxUsedBruteForce(domains, wanted); used != best {
				c.Fatalf("domains %v, wanted %+v: %d in use, %d could be: %v", domains, wanted, used, best, target)
			}
		}
	}
}

// TestPolicyWeightsDecideRepacking checks that a serving group is broken up only if the
// policy's weights of downtime and stranded accelerators favour it.
func TestPolicyWeightsDecideRepacking(t *testing.T) {
	wanted := []models.Model{{Name: "big", Members: 3, Replicas: 1}, {Name: "small", Members: 2, Replicas: 1}}
	// The small group is in the only domain that is large enough for the big one.
	supplies := []supply{
		{domain: "a", usable: 3, healthy: map[models.ModelName]int{"small": 1}, accelerators: 1},
		{domain: "b", usable: 2, accelerators: 1},
	}
	for _, test := range []struct {
		name   string
		policy models.Policy
		want   Target
	}{
		{"downtime weighs most", models.Policy{DowntimeWeight: 100, StrandedWeight: 1}, Target{"a": {"small": 1}}},
		{"stranded weighs most", models.Policy{DowntimeWeight: 1, StrandedWeight: 9}, Target{"a": {"big": 1}, "b": {"small": 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, assign(supplies, wanted, test.policy), qt.DeepEquals, test.want)
		})
	}
}

func TestAssignRespectsPlacementRules(t *testing.T) {
	wanted := []models.Model{{Name: "m", Members: 2, Replicas: 4, Placement: models.PlacementRule{Zones: []models.Zone{"z1"}}}}
	supplies := []supply{{domain: "a", zone: "z1", usable: 4, accelerators: 1}, {domain: "b", zone: "z2", usable: 8, accelerators: 1}}
	target := assign(supplies, wanted, models.Policy{DowntimeWeight: 1, StrandedWeight: 1})
	qt.Assert(t, target, qt.DeepEquals, Target{"a": {"m": 2}})
}
