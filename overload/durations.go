package overload

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the mean rate.
	rateWindow = time.Second
	// usualWeight is the weight of a request in the usual duration, minUsual the number of requests
	// from which on that is meaningful.
	usualWeight = 0.01
	minUsual    = 50
)

// durations tracks how many requests are served, and how long they usually take. The zero value has
// seen no request.
type durations struct {
	// usual is the mean duration in seconds of count requests that were served while the daemon was
	// calm.
	usual float64
	count int
	// rate is the mean number of requests served per second, as of rateAt.
	rate   float64
	rateAt time.Time
}

// add records a request that was served.
func (d *durations) add(now time.Time, took time.Duration, calm bool) {
	if calm {
		d.count++
		d.usual += max(usualWeight, 1/float64(d.count)) * (took.Seconds() - d.usual)
	}
	d.rate = d.rateOf(now) + 1/rateWindow.Seconds()
	d.rateAt = now
}

func (d *durations) rateOf(now time.Time) float64 {
	return d.rate * math.Exp(min(0, d.rateAt.Sub(now).Seconds())/rateWindow.Seconds())
}

// usualLoad returns how many requests would be in progress if those that are served took as long as
// usual, or 0 if that is not known.
func (d *durations) usualLoad(now time.Time) float64 {
	if d.count < minUsual {
		return 0
	}
	return d.rateOf(now) * d.usual
}
