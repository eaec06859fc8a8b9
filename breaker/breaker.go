// Package breaker implements circuit breakers that instances open themselves: an instance can ask
// in its responses for a backoff, or announce that it is leaving. A breaker is open during the
// backoff, half-open afterwards, when a few requests probe the instance, and closed once enough
// probes succeeded.
//
// The package is pure: it does no input or output, and the time and randomness are passed in.
package breaker

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Reasons why no request may be sent to an instance now.
var (
	ErrBackingOff = errors.New("the instance asked for rest")
	// ErrProbing: as many requests as may probe the instance after its backoff are in flight.
	ErrProbing = errors.New("the instance is being tried after its rest")
	ErrLeaving = errors.New("the instance is about to leave")
)

const (
	// jitterFraction is the part of a backoff by which it is extended at random, so that daemons do
	// not all return at the same moment.
	jitterFraction = 0.25
	// probesToClose is how many probes must succeed for the breaker to close. For each that
	// succeeds, one more may be in flight.
	probesToClose = 8
	// initialRejectBackoff is the backoff after a rejected probe. It doubles with each further one,
	// up to maxRejectBackoff.
	initialRejectBackoff = 250 * time.Millisecond
	maxRejectBackoff     = 4 * time.Second
	// probePollInterval is when to check again an instance that is being probed.
	probePollInterval = 50 * time.Millisecond
	// broadcastFraction is the part of a backoff by which it must outlast the last one that was
	// broadcast to be broadcast as well.
	broadcastFraction = 0.5
	// backoffRetention is for how long a backoff is remembered after its end. leavingRetention is
	// for how long an unlisted instance is remembered as leaving: longer than any copy of the store
	// is old.
	backoffRetention = time.Minute
	leavingRetention = 10 * time.Minute
)

// Signal is what an instance asked for in the head of one response.
type Signal struct {
	Instance models.InstanceID
	// StartedAt distinguishes incarnations of an instance with the same ID; it is zero if the start
	// time is unknown.
	StartedAt time.Time
	// ReceivedAt is when the head was received.
	ReceivedAt time.Time
	// Backoff is the backoff that the instance asks of the daemon that it answered, 0 for none.
	Backoff time.Duration
	// Leaving reports that the instance is about to leave.
	Leaving bool
}

// IsEmpty reports whether the instance asked for nothing.
func (s Signal) IsEmpty() bool { return s.Backoff <= 0 && !s.Leaving }

// Source is the daemon that received a signal from an instance; the empty one is this daemon.
type Source = models.DaemonID

// Breakers holds the circuit breakers of instances. It is not safe for concurrent use.
type Breakers struct {
	random   *rand.Rand
	breakers map[models.InstanceID]*breaker
	// lastChange is the number of the last change that is to be broadcast.
	lastChange uint64
}

// breaker is the circuit breaker of one incarnation of an instance.
type breaker struct {
	instance models.UpstreamInstance
	// started and until bound this daemon's backoff, zero if there was none; probesFrom is when the
	// instance may be probed.
	started, until, probesFrom time.Time
	// probesInFlight counts the probes in flight, probesSucceeded those that succeeded since the
	// backoff, rejections those that were rejected in a row.
	probesInFlight, probesSucceeded, rejections int
	// endUnreported is set if Prune has not returned the end of the backoff yet, reportRequested
	// that the instance was asked for a report during the backoff.
	endUnreported, reportRequested bool
	// broadcastUntil is the latest end of a backoff that other daemons know of, broadcastBackoff
	// the length of that backoff.
	broadcastUntil   time.Time
	broadcastBackoff time.Duration
	// leaving is when the instance first announced that it leaves, zero if it did not.
	leaving time.Time
	// backoffChange and leavingChange are the last changes to be broadcast.
	backoffChange, leavingChange sourcedChange
}

// sourcedChange is the number of a change to be broadcast, and its source.
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
	// Started reports that a backoff began, Extended that it was extended.
	Started, Extended bool
	// Leaving reports that the instance is newly known to leave.
	Leaving bool
	// Broadcast reports that the signal is to be broadcast.
	Broadcast bool
}

// Apply applies a signal that this daemon or another one received from an instance. A backoff binds
// only the daemon that was asked for it; for others it only means that the instance is busy. Of two
// backoffs the later end counts, in whichever order they are received.
func (b *Breakers) Apply(s Signal, from Source) Change {
	br := b.breakers[s.Instance]
	if s.IsEmpty() || (br != nil && br.instance.CompareIncarnation(s.StartedAt) == models.EarlierIncarnation) {
		return Change{}
	}
	if br == nil || br.instance.CompareIncarnation(s.StartedAt) == models.LaterIncarnation {
		br = &breaker{instance: models.UpstreamInstance{ID: s.Instance, StartedAt: s.StartedAt}}
		b.breakers[s.Instance] = br
	}
	var change Change
	end := s.ReceivedAt.Add(s.Backoff)
	if from == "" && s.Backoff > 0 && end.After(br.until) {
		change.Started, change.Extended = !s.ReceivedAt.Before(br.until), s.ReceivedAt.Before(br.until)
		br.open(s, end, b.jitter(s.Backoff))
	}
	if s.Backoff > 0 && end.Sub(br.broadcastUntil) > time.Duration(broadcastFraction*float64(s.Backoff)) {
		br.broadcastUntil, br.broadcastBackoff, change.Broadcast = end, s.Backoff, true
		br.backoffChange = b.nextChange(from)
	}
	if s.Leaving && br.leaving.IsZero() {
		br.leaving, change.Leaving, change.Broadcast = s.ReceivedAt, true, true
		br.leavingChange = b.nextChange(from)
	}
	return change
}

// nextChange numbers a change.
func (b *Breakers) nextChange(from Source) sourcedChange {
	b.lastChange++
	return sourcedChange{b.lastChange, from}
}

// jitter returns the random time by which a backoff is extended.
func (b *Breakers) jitter(backoff time.Duration) time.Duration {
	return time.Duration(jitterFraction * float64(backoff) * b.random.Float64())
}

// open starts or extends a backoff.
func (br *breaker) open(s Signal, end time.Time, jitter time.Duration) {
	if !s.ReceivedAt.Before(br.until) {
		br.started, br.reportRequested = s.ReceivedAt, false
	}
	br.endUnreported = true
	br.until, br.probesFrom, br.probesSucceeded, br.rejections = end, end.Add(jitter), 0, 0
}

// find returns the breaker of this incarnation of an instance, nil if there is none.
func (b *Breakers) find(i models.UpstreamInstance) *breaker {
	br := b.breakers[i.ID]
	if br == nil || i.CompareIncarnation(br.instance.StartedAt) == models.EarlierIncarnation {
		return nil
	}
	return br
}

// isClosed reports whether requests are admitted without limit.
func (br *breaker) isClosed() bool { return br.until.IsZero() || br.probesSucceeded >= probesToClose }

// Blocks returns why no request at all may be sent to an instance, nil if some may.
func (b *Breakers) Blocks(i models.UpstreamInstance, now time.Time) error {
	br := b.find(i)
	switch {
	case br == nil:
		return nil
	case !br.leaving.IsZero():
		return ErrLeaving
	case !br.isClosed() && now.Before(br.probesFrom):
		return ErrBackingOff
	default:
		return nil
	}
}

// Check returns why no further request may be sent to an instance now, nil if one may.
func (b *Breakers) Check(i models.UpstreamInstance, now time.Time) error {
	if err := b.Blocks(i, now); err != nil {
		return err
	}
	if br := b.find(i); br != nil && !br.isClosed() && br.probesInFlight > br.probesSucceeded {
		return ErrProbing
	}
	return nil
}

// Admission admits one request to an instance. It must be settled.
type Admission struct {
	breaker *breaker
}

// Admit admits a request to an instance, or returns why it may not be sent.
func (b *Breakers) Admit(i models.UpstreamInstance, now time.Time) (Admission, error) {
	if err := b.Check(i, now); err != nil {
		return Admission{}, err
	}
	br := b.find(i)
	if br == nil || br.isClosed() {
		return Admission{}, nil
	}
	br.probesInFlight++
	return Admission{br}, nil
}

// Outcome is the outcome of an admitted request.
type Outcome int

// Outcomes of admitted requests.
const (
	// Unanswered does not show whether the instance accepts requests. Accepted means that it
	// ran the request, Rejected that it rejected it.
	Unanswered Outcome = iota
	Accepted
	Rejected
)

// Settle records the outcome of an admitted request.
func (b *Breakers) Settle(admission Admission, outcome Outcome, now time.Time) {
	br := admission.breaker
	if br == nil {
		return
	}
	br.probesInFlight--
	switch {
	case now.Before(br.probesFrom):
		// The request was sent before the current backoff was known.
	case outcome == Accepted:
		br.probesSucceeded, br.rejections = br.probesSucceeded+1, 0
	case outcome == Rejected:
		pause := min(maxRejectBackoff, initialRejectBackoff<<min(br.rejections, 10))
		br.probesSucceeded, br.rejections = 0, br.rejections+1
		br.probesFrom = now.Add(pause + b.jitter(pause))
	}
}

// AdmitReport reports whether an instance may be asked for a report, which is allowed once in a
// backoff.
func (b *Breakers) AdmitReport(i models.UpstreamInstance, now time.Time) bool {
	br := b.find(i)
	if br == nil || !now.Before(br.until) {
		return true
	}
	first := !br.reportRequested
	br.reportRequested = true
	return first
}

// Next returns when an instance that gets no requests now may be sent one again, and since when it
// gets none. It returns false for one that is leaving.
func (b *Breakers) Next(i models.UpstreamInstance, now time.Time) (next, since time.Time, ok bool) {
	switch b.Check(i, now) {
	case ErrBackingOff:
		br := b.find(i)
		return br.probesFrom, br.started, true
	case ErrProbing:
		return now.Add(probePollInterval), b.find(i).started, true
	case ErrLeaving:
		return time.Time{}, time.Time{}, false
	default:
		return now, now, true
	}
}

// IsBusy reports whether an instance asked some daemon for a backoff that lasts, or has not been
// probed successfully since.
func (b *Breakers) IsBusy(i models.UpstreamInstance, now time.Time) bool {
	br := b.find(i)
	return br != nil && (now.Before(br.broadcastUntil) || !br.isClosed())
}

// Leaving returns the instances that announced that they leave, with the time of the announcement.
func (b *Breakers) Leaving() []Signal {
	var out []Signal
	for id, br := range b.breakers {
		if !br.leaving.IsZero() {
			out = append(out, Signal{Instance: id, StartedAt: br.instance.StartedAt, ReceivedAt: br.leaving, Leaving: true})
		}
	}
	return out
}

// Since returns the signals to broadcast of changes after a number, from the sources that include
// accepts, and the number of the last change.
func (b *Breakers) Since(seen uint64, include func(Source) bool, now time.Time) ([]Signal, uint64) {
	var out []Signal
	isNew := func(n sourcedChange) bool { return n.number > seen && include(n.source) }
	for id, br := range b.breakers {
		if isNew(br.leavingChange) {
			out = append(out, Signal{Instance: id, StartedAt: br.instance.StartedAt, ReceivedAt: br.leaving, Leaving: true})
		}
		if isNew(br.backoffChange) && now.Before(br.broadcastUntil) {
			out = append(out, Signal{Instance: id, StartedAt: br.instance.StartedAt, ReceivedAt: br.broadcastUntil.Add(-br.broadcastBackoff), Backoff: br.broadcastBackoff})
		}
	}
	return out, b.lastChange
}

// CountBackingOff returns how many instances asked this daemon for a backoff that lasts.
func (b *Breakers) CountBackingOff(now time.Time) int {
	n := 0
	for _, br := range b.breakers {
		if now.Before(br.until) {
			n++
		}
	}
	return n
}

// Forget drops the breaker of an instance. Outcomes of requests admitted before are ignored.
func (b *Breakers) Forget(id models.InstanceID) { delete(b.breakers, id) }

// Prune drops backoffs that ended long ago, and instances that left and are no longer listed. It
// returns the instances whose backoff ended since the last call.
func (b *Breakers) Prune(listed func(models.InstanceID) bool, now time.Time) []models.InstanceID {
	var ended []models.InstanceID
	for id, br := range b.breakers {
		if br.endUnreported && !now.Before(br.until) {
			br.endUnreported = false
			ended = append(ended, id)
		}
		left := br.leaving.IsZero() || (!listed(id) && now.Sub(br.leaving) > leavingRetention)
		if left && now.Sub(br.probesFrom) > backoffRetention && now.Sub(br.broadcastUntil) > backoffRetention && br.probesInFlight == 0 {
			delete(b.breakers, id)
		}
	}
	return ended
}

// Empty reports whether there is no breaker.
func (b *Breakers) Empty() bool { return len(b.breakers) == 0 }
