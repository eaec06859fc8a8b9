package cluster

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// What callers ask of each model is summed by zone, for the daemon that plans.

// Work is what callers ask of a model in a second. What several daemons' callers ask
// adds up.
type Work struct {
	// Seconds are those of a replica group that is half full, Added the part of them
	// that requests add to the work of their groups, whatever else these run.
	Seconds float32 `msgpack:"s,omitempty"`
	Added   float32 `msgpack:"a,omitempty"`
	// Requests is how many there are, Tokens what their prompts hold, AimSeconds the
	// sum of the times in which their first events should come.
	Requests   float32 `msgpack:"r,omitempty"`
	Tokens     float32 `msgpack:"t,omitempty"`
	AimSeconds float32 `msgpack:"i,omitempty"`
}

// Plus adds what others ask.
func (w Work) Plus(o Work) Work {
	return Work{w.Seconds + o.Seconds, w.Added + o.Added, w.Requests + o.Requests, w.Tokens + o.Tokens, w.AimSeconds + o.AimSeconds}
}

// Times is so many times as much.
func (w Work) Times(x float64) Work {
	f := float32(x)
	return Work{f * w.Seconds, f * w.Added, f * w.Requests, f * w.Tokens, f * w.AimSeconds}
}

// Shared is the part of the work that requests add to that of their groups.
func (w Work) Shared() float64 {
	if w.Seconds <= 0 || w.Added <= 0 {
		return sharedAssumed
	}
	return float64(w.Added / w.Seconds)
}

// MeanPrompt is how many tokens a request's prompt holds, MeanAim in which time its
// first event should come; 0 if there are no requests.
func (w Work) MeanPrompt() float64 {
	if w.Requests <= 0 {
		return 0
	}
	return float64(w.Tokens / w.Requests)
}

// MeanAim is in which time a request's first event should come.
func (w Work) MeanAim() time.Duration {
	if w.Requests <= 0 {
		return 0
	}
	return time.Duration(float64(w.AimSeconds/w.Requests) * float64(time.Second))
}

// seconds leaves out all but the seconds, which is all that older processes read.
func seconds(work map[models.ModelName]Work) map[models.ModelName]float32 {
	out := make(map[models.ModelName]float32, len(work))
	for model, w := range work {
		out[model] = w.Seconds
	}
	return out
}

// told is what a daemon tells of its callers. Older processes tell only seconds.
func told(asked map[models.ModelName]Work, work map[models.ModelName]float32) map[models.ModelName]Work {
	if len(asked) > 0 || len(work) == 0 {
		return asked
	}
	out := make(map[models.ModelName]Work, len(work))
	for model, s := range work {
		out[model] = Work{Seconds: s}
	}
	return out
}

// work sums what the callers of all daemons ask of each model. What those of other
// zones ask is told by the first relay of each that is heard.
func (o *owner) work() map[models.ModelName]Work {
	sum := o.zoneWork()
	if o.peers.arranged.Mesh {
		return sum
	}
	heard := map[models.Zone]bool{}
	for _, d := range o.peers.arranged.Planners {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || heard[d.Zone] || len(p.beat.ZoneWork) == 0 {
			continue
		}
		heard[d.Zone] = true
		addWork(sum, told(p.beat.ZoneAsked, p.beat.ZoneWork))
	}
	return sum
}

// zoneWork sums what the callers of the daemons of this one's zone ask of each
// model; in a mesh, of all daemons.
func (o *owner) zoneWork() map[models.ModelName]Work {
	sum := maps.Clone(o.n.traffic.Work())
	if sum == nil {
		sum = map[models.ModelName]Work{}
	}
	for _, p := range o.peers.seen {
		if o.peers.arranged.Mesh || p.beat.Zone == o.n.cfg.Zone {
			addWork(sum, told(p.beat.Asked, p.beat.Work))
		}
	}
	return sum
}

func addWork(sum, work map[models.ModelName]Work) {
	for model, w := range work {
		sum[model] = sum[model].Plus(w)
	}
}

// shownZoneWork is what this daemon tells of its zone, as a relay.
func (o *owner) shownZoneWork() map[models.ModelName]Work {
	if o.peers.arranged.Mesh || !o.peers.arranged.Relay {
		return nil
	}
	return o.zoneWork()
}
