package ratelimit

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Cold holds which instances are cold, and the rates that such instances bear. The zero value is
// ready to use. It is not safe for concurrent use.
type Cold struct {
	// rates are the requests per second that a cold instance of a service may get.
	rates     map[models.ServiceName]float64
	instances map[models.InstanceID]coldInstance
}

// coldInstance is an incarnation of an instance that is cold until a time.
type coldInstance struct {
	instance models.UpstreamInstance
	until    time.Time
}

// SetRates sets the rates by service. Cold instances of other services have no limit.
func (c *Cold) SetRates(rates map[models.ServiceName]float64) { c.rates = rates }

// Set records until when an instance is cold, and reports whether it was not cold before.
func (c *Cold) Set(i models.UpstreamInstance, until, now time.Time) bool {
	before, known := c.instances[i.ID]
	if known && before.instance.CompareIncarnation(i.StartedAt) == models.EarlierIncarnation {
		return false
	}
	if !until.After(now) {
		delete(c.instances, i.ID)
		return false
	}
	if c.instances == nil {
		c.instances = map[models.InstanceID]coldInstance{}
	}
	c.instances[i.ID] = coldInstance{instance: i, until: until}
	return !known
}

// Rate returns the requests per second that an instance may get from all daemons together, if it is
// cold.
func (c *Cold) Rate(i models.UpstreamInstance, now time.Time) float64 {
	if !c.Contains(i, now) {
		return models.NoRateLimit
	}
	if rate := c.rates[c.instances[i.ID].instance.Service]; rate > 0 {
		return rate
	}
	return models.NoRateLimit
}

// Contains reports whether an instance is cold.
func (c *Cold) Contains(i models.UpstreamInstance, now time.Time) bool {
	k, known := c.instances[i.ID]
	return known && now.Before(k.until) && k.instance.CompareIncarnation(i.StartedAt) == models.SameIncarnation
}

// Count returns the number of cold instances.
func (c *Cold) Count(now time.Time) int {
	n := 0
	for _, k := range c.instances {
		if now.Before(k.until) {
			n++
		}
	}
	return n
}

// Empty reports whether no cold instance has a rate.
func (c *Cold) Empty() bool { return len(c.instances) == 0 || len(c.rates) == 0 }

// Forget drops an instance.
func (c *Cold) Forget(id models.InstanceID) { delete(c.instances, id) }

// Prune drops the instances that are not cold any more.
func (c *Cold) Prune(now time.Time) {
	maps.DeleteFunc(c.instances, func(_ models.InstanceID, k coldInstance) bool { return !now.Before(k.until) })
}
