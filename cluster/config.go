package cluster

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/evacuation"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// configState is the configuration in force.
type configState struct {
	routing     *models.Routing
	data        []byte
	confirmedAt time.Time
	// pending is a configuration that is not in force until no peer can have a newer one.
	pending *pendingConfig
	// evacuations are the zones that operators evacuate.
	evacuations evacuation.Zones
}

// configFetchDelay is how long a peer must have had a newer configuration before a daemon that
// reads the store itself asks the peer for it; usually the store answers first. A daemon that uses
// a relay asks at once, and reads the store if it has no response within this time.
const configFetchDelay = 500 * time.Millisecond

// applyConfig puts a configuration in force. If data is nil or the configuration in force, it
// confirms that this was the newest at requestedAt.
func (o *owner) applyConfig(data []byte, requestedAt time.Time, from string) {
	if data == nil || bytes.Equal(data, o.config.data) {
		if o.config.routing != nil && requestedAt.After(o.config.confirmedAt) {
			o.config.confirmedAt = requestedAt
			o.viewStale = true
		}
		return
	}
	routing, err := platform.DecodeRouting(data)
	if err != nil {
		o.n.log.Error().Err(err).Str("from", from).Msg("config-refused")
		return
	}
	old := int64(0)
	if o.config.routing != nil {
		old = o.config.routing.Version
	}
	if routing.Version <= old {
		if from == "store" && requestedAt.After(o.config.confirmedAt) {
			// The store was restored from a backup and held nothing newer than the configuration in
			// force.
			o.config.confirmedAt, o.viewStale = requestedAt, true
		}
		o.n.log.Info().Int64("version", routing.Version).Int64("in-force", old).Str("from", from).Msg("config-older")
		return
	}
	o.config.routing, o.config.data, o.config.pending = routing, data, nil
	if requestedAt.After(o.config.confirmedAt) {
		// Otherwise the earlier confirmation stays: when the earlier version was the newest, this one
		// was not written yet. A long poll may have been requested long before it returns a version.
		o.config.confirmedAt = requestedAt
	}
	o.fleet.services, o.fleetStale = routing.Services, true
	o.n.limits.SetColdRates(coldRates(routing.Services))
	if o.peers.topology.IsRelay {
		// Daemons that use this one as their relay ask for the configuration once a heartbeat tells
		// its version.
		o.publish()
		o.n.links.sendHeartbeat("")
	}
	o.n.log.Info().Int64("version", routing.Version).Int64("was", old).Str("from", from).Int("keys", len(routing.Keys)).
		Int("hosts", len(routing.Hosts)).Msg("config-in-force")
}

// peersWithNewerConfig returns the daemons that have a newer configuration than this one.
func (o *owner) peersWithNewerConfig() []models.DaemonID {
	own := int64(0)
	if r := o.config.routing; r != nil {
		own = r.Version
	}
	var newer []models.DaemonID
	for id, p := range o.peers.seen {
		if p.heartbeat.ConfigVersion > own {
			newer = append(newer, id)
		}
	}
	return newer
}

// requestNewerConfig chooses a daemon to ask for a newer configuration.
func (o *owner) requestNewerConfig(now time.Time) {
	newer := o.peersWithNewerConfig()
	switch {
	case len(newer) == 0:
		o.peers.configBehindSince, o.peers.configSource = time.Time{}, ""
		return
	case o.peers.configBehindSince.IsZero():
		o.peers.configBehindSince = now
	}
	// A daemon that uses a relay does not read the store itself, so there is no read to wait for.
	delay := configFetchDelay
	if !o.peers.topology.IsMesh && !o.peers.topology.IsRelay {
		delay = 0
	}
	if now.Sub(o.peers.configBehindSince) >= delay && !slices.Contains(newer, o.peers.configSource) {
		o.peers.configSource = newer[rand.IntN(len(newer))]
		o.publish()
		o.n.links.sendHeartbeat(o.peers.configSource)
	}
}
