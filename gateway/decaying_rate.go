package gateway

import (
	"math"
	"time"
)

// decayingRate is a rate whose past decays exponentially, with averagingPeriod.
type decayingRate struct {
	rate    float64
	updated time.Time
}

// decayed returns the rate now. It may be called on nil.
func (r *decayingRate) decayed(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.updated).Seconds()/averagingPeriod.Seconds())
}

// add counts one event. It may be called on the zero value.
func (r *decayingRate) add(now time.Time) {
	r.rate, r.updated = r.decayed(now)+1/averagingPeriod.Seconds(), now
}
