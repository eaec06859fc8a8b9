package gateway

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// bar has an instance that names a limit be left alone until then.
func (b *balance) bar(id models.InstanceID, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.barred[id] = until
}

// isBarred reports whether an instance is to be left alone: it asked for rest, leaves, or names
// a limit and gave no permit. The balance must be locked.
func (b *balance) isBarred(node Beliefs, i models.UpstreamInstance, now time.Time) bool {
	return node.Breakers().Check(i) != nil || b.lacksPermit(node, i, now)
}

// lacksPermit reports whether an instance is left alone that names a limit. The balance must
// be locked.
func (b *balance) lacksPermit(node Beliefs, i models.UpstreamInstance, now time.Time) bool {
	return now.Before(b.barred[i.ID]) && node.Limits().Rate(i, now) != models.NoLimit
}

// opening is when a request may be sent that may not be now.
type opening struct {
	at time.Time
	// since is when the instance that may be sent it first began to get none.
	since time.Time
	// reason is why it may not be sent now, errLimited or errResting.
	reason error
}

// nextOpening is when the first of some instances may be sent a request again that gets none
// now. It returns false if there is none: all get requests, were tried, or leave.
func (b *balance) nextOpening(node Beliefs, instances []models.UpstreamInstance, tried []models.InstanceID) (opening, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var first opening
	for _, i := range instances {
		at, since, stays := node.Breakers().Next(i, now)
		if !stays || slices.Contains(tried, i.ID) {
			continue
		}
		o := opening{at, since, errResting}
		if until := b.barred[i.ID]; b.lacksPermit(node, i, now) && !until.Before(at) {
			o = opening{until, now, errLimited}
		}
		if o.at.After(now) && (first.at.IsZero() || o.at.Before(first.at)) {
			first = o
		}
	}
	return first, !first.at.IsZero()
}
