package cluster

import (
	"hash/fnv"

	"github.com/lupinkeel/lupinkeel/models"
)

// candidates is how many daemons ask the store for the planner's lease: enough
// that some are left after any loss, and few against the store's price.
const candidates = 9

// standing orders daemons for a part that only some of them take: those with
// the most processor first, and equals by a hash of their names. All daemons
// that know of each other find the same order.
type standing struct {
	power float64
	id    models.DaemonID
}

// before reports whether a daemon takes a part rather than another.
func (s standing) before(o standing) bool {
	if s.power != o.power {
		return s.power > o.power
	}
	return hashOf(s.id) < hashOf(o.id)
}

func hashOf(id models.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// candidate reports whether this node is one of those that may plan.
func (o *owner) candidate() bool {
	before := 0
	own := standing{o.n.cfg.Power, o.n.cfg.ID}
	for id, p := range o.peers.seen {
		if (standing{p.beat.Power, id}).before(own) {
			before++
		}
	}
	return before < candidates
}

// relays picks one daemon of each other zone, where there are many daemons. It
// passes on what is to be known at once, so that each change crosses to a zone
// once.
func (o *owner) relays() map[models.DaemonID]bool {
	if len(o.peers.seen) < manyDaemons {
		return nil
	}
	first := map[models.Zone]standing{}
	for id, p := range o.peers.seen {
		if p.beat.Zone == o.n.cfg.Zone {
			continue
		}
		s := standing{p.beat.Power, id}
		if best, there := first[p.beat.Zone]; !there || s.before(best) {
			first[p.beat.Zone] = s
		}
	}
	out := map[models.DaemonID]bool{}
	for _, s := range first {
		out[s.id] = true
	}
	return out
}
