package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A cold instance may get few requests from all daemons together. Its entry says how much longer it
// stays cold, and the planner's updates pass that on as a duration, since the clocks of machines
// differ.

// coldTolerance is the difference between two estimates of when an instance is warm that does not
// count as a change: an entry is read up to a heartbeat after it was written.
const coldTolerance = time.Second

// observeCold applies how much longer an instance stays cold, as read or received now. Every
// estimate is too late by the age of the entry, so the earliest one is kept, unless the instance
// has become cold again.
func (o *owner) observeCold(k *knownInstance, coldFor time.Duration, now time.Time) {
	until := now.Add(coldFor)
	switch {
	case coldFor <= 0:
		until = time.Time{}
	case now.Before(k.coldUntil) && until.After(k.coldUntil) && until.Sub(k.coldUntil) < coldTolerance:
		return
	}
	if until.Equal(k.coldUntil) || (until.IsZero() && !now.Before(k.coldUntil)) {
		return
	}
	k.coldUntil = until
	hadLimits := o.n.limits.Any()
	o.n.limits.SetCold(k.UpstreamInstance, until, now)
	if !hadLimits && o.n.limits.Any() {
		o.handleLimitsChanged()
	}
}

// presumeCold treats an instance that answers again after it was lost as cold until it has written
// its entry: it may have restarted.
func (o *owner) presumeCold(k *knownInstance, now time.Time) {
	if o.fleet.services[k.Service].ColdRate > 0 {
		o.observeCold(k, 2*o.n.cfg.InstanceHeartbeat, now)
	}
}

// coldRates returns the rates of cold instances by service.
func coldRates(services map[models.ServiceName]models.UpstreamService) map[models.ServiceName]float64 {
	rates := map[models.ServiceName]float64{}
	for name, s := range services {
		if s.ColdRate > 0 {
			rates[name] = s.ColdRate
		}
	}
	return rates
}
