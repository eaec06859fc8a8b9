package cluster

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// configState is the configuration in force.
type configState struct {
	routing     *models.Routing
	data        []byte
	confirmedAt time.Time
	// held is one that waits for the word of other daemons.
	pending *pendingConfig
}

// behindFor is how long another daemon may have a newer configuration before
// it is asked for it by one that reads the store itself: usually that comes first.
// One that leaves reading to others reads if it did not get it within this time.
const configFetchDelay = 500 * time.Millisecond

// handleConfig takes a configuration in, or the proof that what is in force
// was the newest at a time.
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
			// The store came back from a copy: it held nothing newer than what is in force.
			o.config.confirmedAt, o.viewStale = requestedAt, true
		}
		o.n.log.Info().Int64("version", routing.Version).Int64("in-force", old).Str("from", from).Msg("config-older")
		return
	}
	o.config = configState{routing: routing, data: data, confirmedAt: requestedAt}
	o.fleet.services, o.fleetStale = routing.Services, true
	if o.peers.topology.Relay {
		// Those who rely on this daemon are to ask for it at once.
		o.publish()
		o.n.links.sendHeartbeat("")
	}
	o.n.log.Info().Int64("version", routing.Version).Int64("was", old).Str("from", from).Int("keys", len(routing.Keys)).
		Int("hosts", len(routing.Hosts)).Msg("config-in-force")
}

// ahead lists the daemons that tell of a newer configuration.
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

// catchUp picks a daemon to be asked for a newer configuration.
func (o *owner) requestNewerConfig(now time.Time) {
	newer := o.peersWithNewerConfig()
	switch {
	case len(newer) == 0:
		o.peers.configBehindSince, o.peers.configSource = time.Time{}, ""
		return
	case o.peers.configBehindSince.IsZero():
		o.peers.configBehindSince = now
	}
	// Where others read the store for this daemon there is nothing to wait for.
	patience := configFetchDelay
	if !o.peers.topology.Mesh && !o.peers.topology.Relay {
		patience = 0
	}
	if now.Sub(o.peers.configBehindSince) >= patience && !slices.Contains(newer, o.peers.configSource) {
		o.peers.configSource = newer[rand.IntN(len(newer))]
		o.publish()
		o.n.links.sendHeartbeat(o.peers.configSource)
	}
}
