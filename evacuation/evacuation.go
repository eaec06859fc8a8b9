// Package evacuation tracks which availability zones operators evacuate. The instances of such a
// zone get no new requests until the evacuation is lifted.
//
// Daemons learn of evacuations from the operators' records in the store and from each other. Each
// state carries the position in the store up to which the records are known, so that a daemon
// adopts newer states only, whatever way they come.
//
// The package does no I/O, and the time is passed in.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// restoreGrace is how long an evacuation is kept that a store restored from a backup lacks.
// Operators write again what the backup lacks.
const restoreGrace = 10 * time.Second

// Change is an operator's record about one zone: it begins an evacuation or lifts it.
type Change struct {
	Zone      models.Zone
	Evacuated bool
	Position  models.Position
}

// Zones holds the evacuated zones. The zero value is ready to use. It is not safe for concurrent
// use.
type Zones struct {
	// zones maps each evacuated zone to the time when the evacuation ends by itself; zero if it ends
	// only when it is lifted.
	zones map[models.Zone]time.Time
	end   models.Position
}

// End returns the position before which all operators' records are known.
func (z *Zones) End() models.Position { return z.end }

// List returns the evacuated zones in alphabetical order.
func (z *Zones) List() []models.Zone { return slices.Sorted(maps.Keys(z.zones)) }

// Confirmed returns the zones that the store holds as evacuated, in alphabetical order. The others of
// List are not sent to other daemons: each keeps by itself what a restored store lacks.
func (z *Zones) Confirmed() []models.Zone {
	return slices.DeleteFunc(z.List(), func(zone models.Zone) bool { return !z.zones[zone].IsZero() })
}

// Replace sets the evacuated zones as of a position. It reports whether any zone's evacuation began
// or ended, and does nothing if a later position is known.
func (z *Zones) Replace(zones []models.Zone, end models.Position, now time.Time) bool {
	if end.Compare(z.end) <= 0 {
		return false
	}
	next := map[models.Zone]time.Time{}
	for _, zone := range zones {
		next[zone] = time.Time{}
	}
	if end.Era > z.end.Era {
		z.keepMissing(next, now)
	}
	changed := !equalKeys(z.zones, next)
	z.zones, z.end = next, end
	return changed
}

// keepMissing keeps the evacuations that a restored store lacks for restoreGrace.
func (z *Zones) keepMissing(next map[models.Zone]time.Time, now time.Time) {
	for zone, until := range z.zones {
		if _, listed := next[zone]; listed {
			continue
		}
		if until.IsZero() {
			until = now.Add(restoreGrace)
		}
		next[zone] = until
	}
}

// Apply applies the records before end that are not known yet, and reports whether any zone's
// evacuation began or ended.
func (z *Zones) Apply(changes []Change, end models.Position) bool {
	if end.Era != z.end.Era {
		// Records of a new era follow a snapshot of that era.
		return false
	}
	changed := false
	for _, c := range changes {
		if c.Position.Compare(z.end) < 0 {
			continue
		}
		_, before := z.zones[c.Zone]
		changed = changed || before != c.Evacuated
		if !c.Evacuated {
			delete(z.zones, c.Zone)
			continue
		}
		if z.zones == nil {
			z.zones = map[models.Zone]time.Time{}
		}
		z.zones[c.Zone] = time.Time{}
	}
	if end.Compare(z.end) > 0 {
		z.end = end
	}
	return changed
}

// Expire ends the evacuations that a restored store lacked for restoreGrace, and reports whether
// there were any.
func (z *Zones) Expire(now time.Time) bool {
	before := len(z.zones)
	maps.DeleteFunc(z.zones, func(_ models.Zone, until time.Time) bool { return !until.IsZero() && now.After(until) })
	return len(z.zones) < before
}

func equalKeys(a, b map[models.Zone]time.Time) bool {
	return maps.EqualFunc(a, b, func(time.Time, time.Time) bool { return true })
}
