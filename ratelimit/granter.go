package ratelimit

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// burst is how many permits may be granted at once after a pause.
	burst = 2
	// reserved is how many of them are kept for more urgent requests while such wait.
	reserved = 1
	// urgentFor is for how long a refused request counts as waiting.
	urgentFor = time.Second
	// open is how often a permit is granted to whoever asks, of so many: the least urgent
	// requests are not to be starved.
	open = 4
	// crowd is how many askers may be told to come back for the same permit.
	crowd = 8
	// longestWait bounds how long an asker is told to wait.
	longestWait = 2 * time.Second
	// forgotten is after how long without a permit a bucket is dropped: it is full again.
	forgotten = time.Minute
)

// Wanted is an instance that a request may go to, and how many requests a second it may get
// as the asker knows.
type Wanted struct {
	Instance models.InstanceID `msgpack:"i"`
	Rate     float64           `msgpack:"r"`
}

// Ask asks for a permit to send one request to one of several instances.
type Ask struct {
	// Rank tells how urgent the request is, 0 first.
	Rank int `msgpack:"k"`
	// Wanted are the instances, the best first.
	Wanted []Wanted `msgpack:"w"`
	// Charge tells that something was sent to the first of them without a permit, which
	// counts against its rate all the same.
	Charge bool `msgpack:"c,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	// Granted tells that the request may be sent to the wanted instance at At.
	Granted bool `msgpack:"g,omitempty"`
	At      int  `msgpack:"a,omitempty"`
	// Waits are how long it is useless to ask again, for each wanted instance; zero
	// for those that were not looked at.
	Waits []time.Duration `msgpack:"w,omitempty"`
}

// Granter holds the buckets of the instances that one daemon grants permits for. The zero
// value is ready to use. It is not safe for use by several goroutines.
type Granter struct {
	buckets map[models.InstanceID]*bucket
}

// bucket is a leaky bucket that holds the permits granted of late.
type bucket struct {
	level float64
	// at is when it was looked at last, rate what it then drained at.
	at   time.Time
	rate float64
	// granted counts all permits.
	granted int
	// denied counts the asks refused since the last one.
	denied int
	// urgent is the rank of the most urgent request that was refused of late, until then.
	urgent int
	until  time.Time
}

// Ask grants a permit for the first of the wanted instances that may get one more request
// now. The function tells the rate at which this daemon may grant permits of an instance.
func (g *Granter) Ask(ask Ask, rate func(Wanted) float64, now time.Time) Grant {
	waits := make([]time.Duration, len(ask.Wanted))
	if ask.Charge && len(ask.Wanted) > 0 {
		b := g.bucket(ask.Wanted[0].Instance, now)
		b.drain(rate(ask.Wanted[0]), now)
		b.level = min(b.level+1, 2*burst)
		return Grant{Granted: true, Waits: waits}
	}
	for n, w := range ask.Wanted {
		r := rate(w)
		if r == models.NoLimit {
			return Grant{Granted: true, At: n, Waits: waits}
		}
		if r <= 0 {
			g.bucket(w.Instance, now).drain(0, now)
			waits[n] = longestWait
			continue
		}
		if waits[n] = g.bucket(w.Instance, now).take(ask.Rank, r, now); waits[n] == 0 {
			return Grant{Granted: true, At: n, Waits: waits}
		}
	}
	return Grant{Waits: waits}
}

// bucket returns the bucket of an instance. A new one grants nothing at once: another
// daemon may have granted permits until now.
func (g *Granter) bucket(id models.InstanceID, now time.Time) *bucket {
	if g.buckets == nil {
		g.buckets = map[models.InstanceID]*bucket{}
	}
	b := g.buckets[id]
	if b == nil {
		b = &bucket{level: burst, at: now}
		g.buckets[id] = b
	}
	return b
}

// drain has the bucket drain until now. The rate may have changed at any time since it last
// did.
func (b *bucket) drain(rate float64, now time.Time) {
	drained := min(rate, b.rate) * max(0, now.Sub(b.at).Seconds())
	b.level, b.at, b.rate = max(0, b.level-drained), now, rate
}

// take takes one permit and returns zero, or how long there will be none.
func (b *bucket) take(rank int, rate float64, now time.Time) time.Duration {
	b.drain(rate, now)
	need := 1.0
	waiting := now.Before(b.until)
	if waiting && rank > b.urgent && b.granted%open != 0 {
		need += reserved
	}
	if over := b.level + need - burst; over > 0 {
		b.denied++
		if !waiting || rank <= b.urgent {
			b.urgent, b.until = rank, now.Add(urgentFor)
		}
		wait := min(longestWait.Seconds(), over/rate*(1+float64(b.denied)/crowd))
		return time.Duration(wait*float64(time.Second)) + time.Millisecond
	}
	b.level++
	b.granted++
	b.denied = 0
	return 0
}

// Prune forgets buckets that were not used for long.
func (g *Granter) Prune(now time.Time) {
	for id, b := range g.buckets {
		if now.Sub(b.at) > forgotten {
			delete(g.buckets, id)
		}
	}
}
