// Package breaker keeps what instances ask of a daemon in their answers: to be left alone
// for a while, or for good, since they are about to leave. It is a circuit breaker for each
// instance that opens as the instance itself asks: open while the instance rests, half-open
// afterwards, when a few requests try it, and closed once those were answered.
//
// The package is pure: it does no input or output, and the time and randomness are handed in.
package breaker

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Reasons for which nothing may be sent to an instance now.
var (
	ErrResting = errors.New("the instance asked for rest")
	// ErrTried: as many requests as may try the instance after its rest are on their way.
	ErrProbing = errors.New("the instance is being tried after its rest")
	ErrLeaving = errors.New("the instance is about to leave")
)

const (
	// spreadPart is the part of a rest over which daemons spread their return, so that they
	// do not all come in the same moment.
	jitterFraction = 0.25
	// closedAfter is how many requests must be answered until the breaker closes. One more
	// may be on its way for each of them.
	probesToClose = 8
	// retryPause is the pause after a request that tried the instance was turned away. It
	// doubles each time, up to mostRetryPause.
	initialRejectBackoff = 250 * time.Millisecond
	maxRejectBackoff     = 4 * time.Second
	// triedPause is when to look again at an instance that is being tried.
	probePollInterval = 50 * time.Millisecond
	// tellPart is the part of a rest by which it must outlast what other daemons were told,
	// so that they are told again.
	broadcastFraction = 0.5
	// kept is for how long a rest is remembered after its end, leavingKept how long it is
	// that an instance leaves which is not listed any more: longer than any copy of the
	// store is old.
	backoffRetention = time.Minute
	leavingRetention = 10 * time.Minute
)

// Signal is what the head of one answer said of its instance.
type Signal struct {
	Instance models.InstanceID
	// Born tells lives of one id apart; it is zero where births are not told.
	Born time.Time
	// Heard is when the head came.
	Heard time.Time
	// Rest is for how long the instance wants nothing from the daemon that it answered, 0
	// if it did not say.
	Rest time.Duration
	// Leaving tells that the instance is about to leave.
	Leaving bool
}

// IsEmpty reports whether the instance asked for nothing.
func (s Signal) IsEmpty() bool { return s.Rest <= 0 && !s.Leaving }

// Source tells who heard of something; the empty one is this daemon itself.
type Source = models.DaemonID

// Breakers holds what is known of instances that asked for something. It is not safe for use
// by several goroutines.
type Breakers struct {
	random   *rand.Rand
	breakers map[models.InstanceID]*breaker
	// changes numbers what is learned, so that others can be told what is new.
	lastChange uint64
}

// breaker is what one life of an instance asked for.
type breaker struct {
	instance models.UpstreamInstance
	// began and until are the times of this daemon's rest, zero if there was none; reopens is
	// when the instance may be tried.
	began, until, reopens time.Time
	// trying counts the requests on their way that try the instance, answered those that
	// were answered since the rest, refused those turned away one after the other.
	probesInFlight, probesTaken, rejections int
	// rests tells that the end of the rest was not told yet, reported that the instance was
	// asked for a report during the rest.
	endUnreported, reportRequested bool
	// elsewhere is the last end of a rest that other daemons know of, told how long the rest
	// was.
	broadcastUntil   time.Time
	broadcastBackoff time.Duration
	// leaving is when the instance first said that it leaves, zero if it did not.
	leaving time.Time
	// restNews and leavingNews are the last changes of what others are to be told.
	backoffChange, leavingChange sourcedChange
}

// news is a change that others are to be told of, and who told it.
type sourcedChange struct {
	number uint64
	source Source
}

// New returns breakers that are all closed.
func New(random *rand.Rand) *Breakers {
	return &Breakers{random: random, breakers: map[models.InstanceID]*breaker{}}
}

// Change is what a signal changed.
type Change struct {
	// Began tells that a rest began, Lengthened that it became longer.
	Began, Lengthened bool
	// Leaving tells that the instance was not known to leave.
	Leaving bool
	// Tell tells that other daemons are to be told.
	Tell bool
}

// Note takes in a signal that this daemon heard, or that another one told. A rest binds only
// the daemon that was asked for it; others take it for a sign that the instance is busy. The
// later end of two rests holds, whichever is heard of first.
func (b *Breakers) Note(s Signal, from Source) Change {
	k := b.breakers[s.Instance]
	if s.IsEmpty() || (k != nil && k.instance.LifeOf(s.Born) == models.EarlierLife) {
		return Change{}
	}
	if k == nil || k.instance.LifeOf(s.Born) == models.LaterLife {
		k = &breaker{instance: models.UpstreamInstance{ID: s.Instance, Born: s.Born}}
		b.breakers[s.Instance] = k
	}
	var change Change
	end := s.Heard.Add(s.Rest)
	if from == "" && s.Rest > 0 && end.After(k.until) {
		change.Began, change.Lengthened = !s.Heard.Before(k.until), s.Heard.Before(k.until)
		k.open(s, end, b.jitter(s.Rest))
	}
	if s.Rest > 0 && end.Sub(k.broadcastUntil) > time.Duration(broadcastFraction*float64(s.Rest)) {
		k.broadcastUntil, k.broadcastBackoff, change.Tell = end, s.Rest, true
		k.backoffChange = b.nextChange(from)
	}
	if s.Leaving && k.leaving.IsZero() {
		k.leaving, change.Leaving, change.Tell = s.Heard, true, true
		k.leavingChange = b.nextChange(from)
	}
	return change
}

// newsFrom numbers one more change.
func (b *Breakers) nextChange(from Source) sourcedChange {
	b.lastChange++
	return sourcedChange{b.lastChange, from}
}

// spread is a random part of a rest by which its end is put off.
func (b *Breakers) jitter(backoff time.Duration) time.Duration {
	return time.Duration(jitterFraction * float64(backoff) * b.random.Float64())
}

// open begins a rest, or lengthens one.
func (k *breaker) open(s Signal, end time.Time, jitter time.Duration) {
	if !s.Heard.Before(k.until) {
		k.began, k.reportRequested = s.Heard, false
	}
	k.endUnreported = true
	k.until, k.reopens, k.probesTaken, k.rejections = end, end.Add(jitter), 0, 0
}

// find returns what this life of an instance asked for, nil if nothing.
func (b *Breakers) find(i models.UpstreamInstance) *breaker {
	k := b.breakers[i.ID]
	if k == nil || i.LifeOf(k.instance.Born) == models.EarlierLife {
		return nil
	}
	return k
}

// isClosed reports whether the instance gets requests as any other.
func (k *breaker) isClosed() bool { return k.until.IsZero() || k.probesTaken >= probesToClose }

// Blocks returns why nothing may be sent to an instance at all, nil if something may.
func (b *Breakers) Blocks(i models.UpstreamInstance, now time.Time) error {
	k := b.find(i)
	switch {
	case k == nil:
		return nil
	case !k.leaving.IsZero():
		return ErrLeaving
	case !k.isClosed() && now.Before(k.reopens):
		return ErrResting
	default:
		return nil
	}
}

// Check returns why no further request may be sent to an instance now, nil if one may.
func (b *Breakers) Check(i models.UpstreamInstance, now time.Time) error {
	if err := b.Blocks(i, now); err != nil {
		return err
	}
	if k := b.find(i); k != nil && !k.isClosed() && k.probesInFlight > k.probesTaken {
		return ErrProbing
	}
	return nil
}

// Admission admits one request to an instance. It is to be settled.
type Admission struct {
	k *breaker
}

// Admit admits a request to an instance, or returns why it may not be sent.
func (b *Breakers) Admit(i models.UpstreamInstance, now time.Time) (Admission, error) {
	if err := b.Check(i, now); err != nil {
		return Admission{}, err
	}
	k := b.find(i)
	if k == nil || k.isClosed() {
		return Admission{}, nil
	}
	k.probesInFlight++
	return Admission{k}, nil
}

// End is what came of a request that was admitted.
type End int

// The ends of requests.
const (
	// Unanswered tells nothing of whether the instance takes requests.
	Unanswered End = iota
	Taken
	TurnedAway
)

// Settle takes in what came of a request that was admitted.
func (b *Breakers) Settle(admission Admission, end End, now time.Time) {
	k := admission.k
	if k == nil {
		return
	}
	k.probesInFlight--
	switch {
	case now.Before(k.reopens):
		// It was sent before the rest that has begun since.
	case end == Taken:
		k.probesTaken, k.rejections = k.probesTaken+1, 0
	case end == TurnedAway:
		pause := min(maxRejectBackoff, initialRejectBackoff<<min(k.rejections, 10))
		k.probesTaken, k.rejections = 0, k.rejections+1
		k.reopens = now.Add(pause + b.jitter(pause))
	}
}

// AdmitReport reports whether an instance may be asked for a report, which it may once in a
// rest.
func (b *Breakers) AdmitReport(i models.UpstreamInstance, now time.Time) bool {
	k := b.find(i)
	if k == nil || !now.Before(k.until) {
		return true
	}
	first := !k.reportRequested
	k.reportRequested = true
	return first
}

// Next is when an instance that gets nothing now may be sent a request again, and since when
// it gets none. It returns false for one that leaves.
func (b *Breakers) Next(i models.UpstreamInstance, now time.Time) (next, since time.Time, ok bool) {
	switch b.Check(i, now) {
	case ErrResting:
		k := b.find(i)
		return k.reopens, k.began, true
	case ErrProbing:
		return now.Add(probePollInterval), b.find(i).began, true
	case ErrLeaving:
		return time.Time{}, time.Time{}, false
	default:
		return now, now, true
	}
}

// IsBusy reports whether an instance wants nothing from some daemon, or was not seen to take
// requests since.
func (b *Breakers) IsBusy(i models.UpstreamInstance, now time.Time) bool {
	k := b.find(i)
	return k != nil && (now.Before(k.broadcastUntil) || !k.isClosed())
}

// Leaving lists the instances that said that they leave, with when they did.
func (b *Breakers) Leaving() []Signal {
	var out []Signal
	for id, k := range b.breakers {
		if !k.leaving.IsZero() {
			out = append(out, Signal{Instance: id, Born: k.instance.Born, Heard: k.leaving, Leaving: true})
		}
	}
	return out
}

// Since returns what was learned after a change from those sources that are to be told of,
// and the newest change.
func (b *Breakers) Since(seen uint64, include func(Source) bool, now time.Time) ([]Signal, uint64) {
	var out []Signal
	isNew := func(n sourcedChange) bool { return n.number > seen && include(n.source) }
	for id, k := range b.breakers {
		if isNew(k.leavingChange) {
			out = append(out, Signal{Instance: id, Born: k.instance.Born, Heard: k.leaving, Leaving: true})
		}
		if isNew(k.backoffChange) && now.Before(k.broadcastUntil) {
			out = append(out, Signal{Instance: id, Born: k.instance.Born, Heard: k.broadcastUntil.Add(-k.broadcastBackoff), Rest: k.broadcastBackoff})
		}
	}
	return out, b.lastChange
}

// Resting is how many instances want nothing from this daemon.
func (b *Breakers) Resting(now time.Time) int {
	n := 0
	for _, k := range b.breakers {
		if now.Before(k.until) {
			n++
		}
	}
	return n
}

// Prune forgets rests that ended long ago, and instances that left and are not listed any
// more. It returns those whose rest ended since it was last called.
func (b *Breakers) Prune(listed func(models.InstanceID) bool, now time.Time) []models.InstanceID {
	var ended []models.InstanceID
	for id, k := range b.breakers {
		if k.endUnreported && !now.Before(k.until) {
			k.endUnreported = false
			ended = append(ended, id)
		}
		left := k.leaving.IsZero() || (!listed(id) && now.Sub(k.leaving) > leavingRetention)
		if left && now.Sub(k.reopens) > backoffRetention && now.Sub(k.broadcastUntil) > backoffRetention && k.probesInFlight == 0 {
			delete(b.breakers, id)
		}
	}
	return ended
}

// Empty reports whether nothing is known of any instance.
func (b *Breakers) Empty() bool { return len(b.breakers) == 0 }
