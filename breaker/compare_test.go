package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// simulation holds the parameters of a simulation: daemons send requests at random times to
// instances, some of which reject all requests and ask for a backoff each time.
type simulation struct {
	daemons, instances int
	// rate is the number of requests per second for all daemons together.
	rate    float64
	backoff time.Duration
	// sharing is set if daemons broadcast backoffs, which takes lag.
	sharing bool
	lag     time.Duration
}

const (
	simulatedTime = 9 * time.Second
	// rejectingFraction is the part of the instances that reject requests.
	rejectingFraction = 0.5
	// maxAttempts is how many instances a request may be sent to.
	maxAttempts = 3
)

// broadcast is a signal in flight to the other daemons.
type broadcast struct {
	arrives time.Time
	from    int
	signal  Signal
}

// run returns the fraction of the sends that were rejected, and of the requests that no instance
// ran.
func (s simulation) run() (rejectedFraction, failedFraction float64) {
	random := rand.New(rand.NewPCG(47, uint64(s.daemons)))
	breakers := make([]*Breakers, s.daemons)
	for d := range breakers {
		breakers[d] = New(rand.New(rand.NewPCG(random.Uint64(), 1)))
	}
	all := make([]models.UpstreamInstance, s.instances)
	for n := range all {
		all[n].ID = models.InstanceID(rune('A' + n))
	}
	var inFlight []broadcast
	sends, rejected, requests, failed := 0, 0, 0, 0
	pause := time.Duration(float64(time.Second) / s.rate)
	for now := epoch; now.Before(epoch.Add(simulatedTime)); now = now.Add(pause) {
		for len(inFlight) > 0 && !inFlight[0].arrives.After(now) {
			for d, b := range breakers {
				if d != inFlight[0].from {
					b.Apply(inFlight[0].signal, "other")
				}
			}
			inFlight = inFlight[1:]
		}
		d := random.IntN(s.daemons)
		requests++
		tried := map[models.InstanceID]bool{}
		for accepted := false; !accepted; {
			i, found := pickIdle(breakers[d], all, tried, now, random)
			if !found || len(tried) == maxAttempts {
				failed++
				break
			}
			tried[i.ID] = true
			admission, err := breakers[d].Admit(i, now)
			if err != nil {
				continue
			}
			sends++
			if float64(i.ID[0]-'A') >= rejectingFraction*float64(s.instances) {
				breakers[d].Settle(admission, Accepted, now)
				accepted = true
				continue
			}
			rejected++
			signal := Signal{Instance: i.ID, ReceivedAt: now, Backoff: s.backoff}
			if change := breakers[d].Apply(signal, ""); s.sharing && change.Broadcast {
				inFlight = append(inFlight, broadcast{now.Add(s.lag), d, signal})
			}
			breakers[d].Settle(admission, Rejected, now)
		}
	}
	return float64(rejected) / float64(sends), float64(failed) / float64(requests)
}

// pickIdle picks one of the instances that may be sent a request, at random; those that asked
// another daemon for a backoff come last.
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

// TestBroadcastSavesRejections compares daemons that each find out for themselves which instances
// want a backoff with daemons that broadcast it.
func TestBroadcastSavesRejections(t *testing.T) {
	for _, test := range []struct {
		simulation
		// maxFraction bounds the rejected sends with broadcasts, as a fraction of those without.
		maxFraction float64
	}{
		{simulation{daemons: 9, instances: 20, rate: 150, backoff: 3 * time.Second, lag: 5 * time.Millisecond}, 0.5},
		// Each daemon probes each instance after each backoff either way.
		{simulation{daemons: 9, instances: 20, rate: 150, backoff: time.Second, lag: 5 * time.Millisecond}, 1},
		{simulation{daemons: 60, instances: 60, rate: 500, backoff: 3 * time.Second, lag: 50 * time.Millisecond}, 0.25},
		{simulation{daemons: 300, instances: 100, rate: 1900, backoff: 3 * time.Second, lag: 100 * time.Millisecond}, 0.25},
	} {
		s := test.simulation
		aloneRejected, aloneFailed := s.run()
		s.sharing = true
		sharedRejected, sharedFailed := s.run()
		t.Logf("%d daemons, %d instances, %.0f/s, backoff %v: fraction of sends rejected %.3f alone, %.3f with broadcasts; of requests not executed %.3f, %.3f",
			s.daemons, s.instances, s.rate, s.backoff, aloneRejected, sharedRejected, aloneFailed, sharedFailed)
		if sharedRejected > test.maxFraction*aloneRejected {
			t.Errorf("broadcasts save too little: %.3f of sends rejected, %.3f without", sharedRejected, aloneRejected)
		}
	}
}
