package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lupinkeel/lupinkeel/standin"
)

const (
	stormInterval = 150 * time.Millisecond
	stormTimeout  = 5 * time.Minute
	// maxCutAfter is more than the length of any response to the load.
	maxCutAfter = 6000
)

// randomFaults returns random faults for a link. Most of them cut connections within the header,
// the body or the stream of a response.
func randomFaults(rng *rand.Rand) standin.Faults {
	switch rng.IntN(8) {
	case 0:
		return standin.Faults{Cut: true}
	case 1:
		return standin.Faults{Freeze: true}
	case 2:
		return standin.Faults{DropDown: true}
	case 3:
		return standin.Faults{Delay: standin.Duration(time.Duration(rng.IntN(40)) * time.Millisecond)}
	case 4, 5, 6:
		return standin.Faults{CutAfter: 1 + rng.IntN(maxCutAfter)}
	default:
		return standin.Faults{}
	}
}

func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "storm SEED REQUESTS LINK ...")
	site := testSiteOf(ts)
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	requests, err := strconv.Atoi(args[1])
	ts.Check(err)
	rng := rand.New(rand.NewPCG(seed, 0))
	set := func(link string, f standin.Faults) {
		data, err := json.Marshal(f)
		ts.Check(err)
		ts.Check(post(fmt.Sprintf("http://%s/links/%s", site.proxy, link), string(data)))
	}
	deadline := time.Now().Add(stormTimeout)
	for site.load.count() < requests {
		if time.Now().After(deadline) {
			ts.Fatalf("storm: only %d of %d requests in time", site.load.count(), requests)
		}
		link := args[2+rng.IntN(len(args)-2)]
		set(link, randomFaults(rng))
		time.Sleep(stormInterval)
		if rng.IntN(2) == 0 {
			set(link, standin.Faults{})
		}
	}
	for _, link := range args[2:] {
		set(link, standin.Faults{})
	}
}

func (l *loadGenerator) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}
