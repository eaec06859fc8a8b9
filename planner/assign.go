package planner

import (
	"cmp"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// Target is the desired number of groups of each model in each fabric domain.
type Target map[models.Domain]map[models.ModelName]int

func (t Target) add(d models.Domain, m models.ModelName, n int) {
	if n == 0 {
		return
	}
	if t[d] == nil {
		t[d] = map[models.ModelName]int{}
	}
	t[d][m] += n
}

// total returns the number of groups of a model in all domains.
func (t Target) total(m models.ModelName) int {
	total := 0
	for _, counts := range t {
		total += counts[m]
	}
	return total
}

// supply is the capacity of one fabric domain.
type supply struct {
	domain models.Domain
	zone   models.Zone
	// usable is the number of instances that can take work, including group members.
	usable int
	// healthy counts the healthy groups of each model.
	healthy map[models.ModelName]int
	// accelerators is the number of accelerators of one instance of the domain.
	accelerators int
}

// Breaking up serving groups is weighed against the stranded accelerators that this
// frees: a group that is broken up is down for about regroupDowntimeSeconds, and the gain is
// assumed to last for repackBenefitSeconds.
const (
	regroupDowntimeSeconds = 60
	repackBenefitSeconds   = 600
)

// assign computes how many groups of each model to have in each fabric domain. It keeps
// the healthy groups, and breaks some of them up only if, by the operators' weights in
// policy, the reduction in stranded accelerators outweighs the downtime.
func assign(supplies []supply, wanted []models.Model, policy models.Policy) Target {
	incremental := assignIncremental(supplies, wanted)
	scratch := assignFromScratch(supplies, wanted)
	gain := usedAccelerators(scratch, supplies, wanted) - usedAccelerators(incremental, supplies, wanted)
	disrupted := disruptedGroups(scratch, supplies) - disruptedGroups(incremental, supplies)
	if gain*policy.StrandedWeight*repackBenefitSeconds > disrupted*policy.DowntimeWeight*regroupDowntimeSeconds {
		return scratch
	}
	return incremental
}

// assignIncremental keeps as many healthy groups as are wanted and assigns the missing
// groups to the remaining instances.
func assignIncremental(supplies []supply, wanted []models.Model) Target {
	kept := Target{}
	left := slices.Clone(supplies)
	remaining := slices.Clone(wanted)
	for i, m := range remaining {
		for j, s := range left {
			n := min(s.healthy[m.Name], remaining[i].Replicas)
			if !m.Placement.Allows(s.zone, s.domain) {
				n = 0
			}
			kept.add(s.domain, m.Name, n)
			remaining[i].Replicas -= n
			left[j].usable -= n * m.Members
		}
	}
	for d, counts := range assignFromScratch(left, remaining) {
		for m, n := range counts {
			kept.add(d, m, n)
		}
	}
	return kept
}

// Limits of the exact assignment. Larger inputs are assigned greedily.
const (
	maxExactStates  = 4096
	maxExactDomains = 64
)

// assignFromScratch assigns as if there were no groups. The exact assignment prefers, among
// those that use the same number of instances, the one that keeps the most groups.
func assignFromScratch(supplies []supply, wanted []models.Model) Target {
	states := 1
	for _, m := range wanted {
		states *= m.Replicas + 1
		if states > maxExactStates {
			return assignGreedy(supplies, wanted)
		}
	}
	if len(supplies) > maxExactDomains {
		return assignGreedy(supplies, wanted)
	}
	return assignExact(supplies, wanted, states)
}

// assignGreedy places the models with the largest groups first. Domains in which more
// instances would be left over come first, so that groups have a spare in their domain.
func assignGreedy(supplies []supply, wanted []models.Model) Target {
	target := Target{}
	left := slices.Clone(supplies)
	bySize := slices.Clone(wanted)
	slices.SortStableFunc(bySize, func(a, b models.Model) int { return cmp.Compare(b.Members, a.Members) })
	for _, m := range bySize {
		order := make([]int, len(left))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(left[b].usable%m.Members, left[a].usable%m.Members)
		})
		need := m.Replicas
		for _, i := range order {
			s := left[i]
			if !m.Placement.Allows(s.zone, s.domain) || s.usable < m.Members {
				continue
			}
			n := min(need, s.usable/m.Members)
			target.add(s.domain, m.Name, n)
			left[i].usable -= n * m.Members
			need -= n
		}
	}
	return target
}

// Weights in the score of an assignment: per instance used, per group kept, and per domain
// that has groups and a spare instance. The weights make the terms rank in this order.
const (
	scorePerInstance   = 10000
	scorePerKeptGroup  = 10
	scoreSpareInstance = 1
)

// assignExact finds the assignment with the highest score by dynamic programming over the
// domains. A state is the number of groups of each model assigned so far.
func assignExact(supplies []supply, wanted []models.Model, states int) Target {
	const unreached = -1
	best := make([]int, states)
	for i := range best {
		best[i] = unreached
	}
	best[0] = 0
	// choices[d][state] is the combination for domain d on the best path to state.
	choices := make([][][]int, len(supplies))
	for d, s := range supplies {
		next := slices.Clone(best)
		choices[d] = make([][]int, states)
		for _, combination := range combinations(s, wanted) {
			score := scoreCombination(s, wanted, combination)
			step := stateIndex(wanted, combination)
			for state, reached := range best {
				if reached == unreached || !fits(wanted, state, combination) {
					continue
				}
				if reached+score > next[state+step] {
					next[state+step] = reached + score
					choices[d][state+step] = combination
				}
			}
		}
		best = next
	}
	state := 0
	for i, score := range best {
		if score > best[state] {
			state = i
		}
	}
	return backtrack(supplies, wanted, choices, state)
}

func backtrack(supplies []supply, wanted []models.Model, choices [][][]int, state int) Target {
	target := Target{}
	for d := len(supplies) - 1; d >= 0; d-- {
		combination := choices[d][state]
		if combination == nil {
			continue
		}
		for i, n := range combination {
			target.add(supplies[d].domain, wanted[i].Name, n)
		}
		state -= stateIndex(wanted, combination)
	}
	return target
}

// combinations lists the possible numbers of groups of each model in one domain, except
// for the empty combination.
func combinations(s supply, wanted []models.Model) [][]int {
	var out [][]int
	current := make([]int, len(wanted))
	var extend func(model, left int)
	extend = func(model, left int) {
		if model == len(wanted) {
			if slices.Max(current) > 0 {
				out = append(out, slices.Clone(current))
			}
			return
		}
		m := wanted[model]
		maxGroups := 0
		if m.Placement.Allows(s.zone, s.domain) {
			maxGroups = min(m.Replicas, max(0, left)/m.Members)
		}
		for n := 0; n <= maxGroups; n++ {
			current[model] = n
			extend(model+1, left-n*m.Members)
		}
		current[model] = 0
	}
	if len(wanted) > 0 {
		extend(0, s.usable)
	}
	return out
}

func scoreCombination(s supply, wanted []models.Model, combination []int) int {
	used, kept := 0, 0
	for i, n := range combination {
		used += n * wanted[i].Members
		kept += min(n, s.healthy[wanted[i].Name])
	}
	score := used*scorePerInstance + kept*scorePerKeptGroup
	if used < s.usable {
		score += scoreSpareInstance
	}
	return score
}

// stateIndex returns the index of a state: a mixed-radix number with one digit per model,
// from 0 to the model's number of replicas.
func stateIndex(wanted []models.Model, counts []int) int {
	index, weight := 0, 1
	for i, n := range counts {
		index += n * weight
		weight *= wanted[i].Replicas + 1
	}
	return index
}

func fits(wanted []models.Model, state int, more []int) bool {
	for i, m := range wanted {
		if state%(m.Replicas+1)+more[i] > m.Replicas {
			return false
		}
		state /= m.Replicas + 1
	}
	return true
}

func usedAccelerators(t Target, supplies []supply, wanted []models.Model) int {
	used := 0
	for _, s := range supplies {
		for _, m := range wanted {
			used += t[s.domain][m.Name] * m.Members * s.accelerators
		}
	}
	return used
}

// disruptedGroups counts the healthy groups that the target doesn't keep.
func disruptedGroups(t Target, supplies []supply) int {
	disrupted := 0
	for _, s := range supplies {
		for m, n := range s.healthy {
			disrupted += max(0, n-t[s.domain][m])
		}
	}
	return disrupted
}
