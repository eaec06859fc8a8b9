package gateway

import (
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
)

// look returns the best group that was not tried, if there is one, and
// whether it has a place.
func (s *stream) look() (group cluster.Group, found, free bool) {
	engine := s.g.node.View().Routing.Services[s.service].Engine
	if engine == nil {
		return group, false, false
	}
	group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.head.Model, s.tried)
	if found && len(s.tried) == 0 {
		s.load = load
	}
	return group, found, found && load < engine.Slots+overSlots
}

// pick waits for a group with a place. A stream that has begun takes any, and
// waits as long as its caller puts up with a pause.
func (s *stream) pick() (cluster.Group, error) {
	until := s.began.Add(time.Duration(queuePart * float64(s.route.Aim)))
	if s.answering {
		until = s.moved.Add(s.route.Pause)
	}
	for {
		group, found, free := s.look()
		if free || (found && s.answering) {
			return group, nil
		}
		if time.Now().After(until) {
			if found {
				return group, errFull
			}
			return group, errNoUpstream
		}
		select {
		case <-s.ctx.Done():
			return group, errors.Join(errNoUpstream, s.ctx.Err())
		case <-time.After(queueStep):
		}
	}
}
