package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// simulated are daemons that send requests at random times to instances, part of which turn
// all away and ask for rest each time.
type simulated struct {
	daemons, instances int
	// rate is how many requests a second come to all daemons together.
	rate float64
	rest time.Duration
	// told tells that daemons tell each other of rests, which takes lag.
	told bool
	lag  time.Duration
}

const (
	simulatedFor = 9 * time.Second
	// shedPart is the part of the instances that turn requests away.
	shedPart = 0.5
	// mostTries is how many instances a request may go to.
	mostTries = 3
)

// onTheWay is a signal on its way to the other daemons.
type onTheWay struct {
	at   time.Time
	from int
	word Signal
}

// run tells which part of the sends was turned away, and which of the requests was not taken
// by any instance.
func (s simulated) run() (turnedAway, lost float64) {
	random := rand.New(rand.NewPCG(47, uint64(s.daemons)))
	known := make([]*Breakers, s.daemons)
	for d := range known {
		known[d] = New(rand.New(rand.NewPCG(random.Uint64(), 1)))
	}
	all := make([]models.UpstreamInstance, s.instances)
	for n := range all {
		all[n].ID = models.InstanceID(rune('A' + n))
	}
	var queue []onTheWay
	sends, sheds, requests, failed := 0, 0, 0, 0
	pause := time.Duration(float64(time.Second) / s.rate)
	for now := epoch; now.Before(epoch.Add(simulatedFor)); now = now.Add(pause) {
		for len(queue) > 0 && !queue[0].at.After(now) {
			for d, b := range known {
				if d != queue[0].from {
					b.Note(queue[0].word, "other")
				}
			}
			queue = queue[1:]
		}
		d := random.IntN(s.daemons)
		requests++
		tried := map[models.InstanceID]bool{}
		for taken := false; !taken; {
			i, found := pickIdle(known[d], all, tried, now, random)
			if !found || len(tried) == mostTries {
				failed++
				break
			}
			tried[i.ID] = true
			pass, err := known[d].Admit(i, now)
			if err != nil {
				continue
			}
			sends++
			if float64(i.ID[0]-'A') >= shedPart*float64(s.instances) {
				known[d].Settle(pass, Taken, now)
				taken = true
				continue
			}
			sheds++
			w := Signal{Instance: i.ID, Heard: now, Rest: s.rest}
			if change := known[d].Note(w, ""); s.told && change.Tell {
				queue = append(queue, onTheWay{now.Add(s.lag), d, w})
			}
			known[d].Settle(pass, TurnedAway, now)
		}
	}
	return float64(sheds) / float64(sends), float64(failed) / float64(requests)
}

// pickIdle picks one of the instances that may be sent a request, at random; those that asked
// another daemon for rest come last.
func pickIdle(b *Breakers, all []models.UpstreamInstance, tried map[models.InstanceID]bool, now time.Time, random *rand.Rand) (models.UpstreamInstance, bool) {
	var best []models.UpstreamInstance
	bestBusy := true
	for _, i := range all {
		if tried[i.ID] || b.Check(i, now) != nil {
			continue
		}
		busy := b.IsBusy(i, now)
		switch {
		case busy == bestBusy:
			best = append(best, i)
		case !busy:
			best, bestBusy = []models.UpstreamInstance{i}, false
		}
	}
	if len(best) == 0 {
		return models.UpstreamInstance{}, false
	}
	return best[random.IntN(len(best))], true
}

// TestTellingOfRests compares daemons that each find out for themselves which instances want
// rest with daemons that tell each other.
func TestTellingOfRests(t *testing.T) {
	for _, test := range []struct {
		simulated
		// most is the part of the sends turned away that may be left.
		most float64
	}{
		{simulated{daemons: 9, instances: 20, rate: 150, rest: 3 * time.Second, lag: 5 * time.Millisecond}, 0.5},
		// One request tries each instance after each rest either way.
		{simulated{daemons: 9, instances: 20, rate: 150, rest: time.Second, lag: 5 * time.Millisecond}, 1},
		{simulated{daemons: 60, instances: 60, rate: 500, rest: 3 * time.Second, lag: 50 * time.Millisecond}, 0.25},
		{simulated{daemons: 300, instances: 100, rate: 1900, rest: 3 * time.Second, lag: 100 * time.Millisecond}, 0.25},
	} {
		s := test.simulated
		alone, lostAlone := s.run()
		s.told = true
		told, lostTold := s.run()
		t.Logf("%d daemons, %d instances, %.0f/s, rest %v: turned away %.3f of sends alone, %.3f told; not taken %.3f, %.3f",
			s.daemons, s.instances, s.rate, s.rest, alone, told, lostAlone, lostTold)
		if told > test.most*alone {
			t.Errorf("telling saves too little: %.3f of sends turned away, %.3f without", told, alone)
		}
	}
}
