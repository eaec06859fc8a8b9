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
	routing *models.Routing
	data    []byte
	proven  time.Time
	// held is one that waits for the word of other daemons.
	held *heldConfig
}

// behindFor is how long another daemon may have a newer configuration before
// it is asked for it by one that reads the store itself: usually that comes first.
// One that leaves reading to others reads if it did not get it within this time.
const behindFor = 500 * time.Millisecond

// handleConfig takes a configuration in, or the proof that what is in force
// was the newest at a time.
func (o *owner) handleConfig(data []byte, asked time.Time, from string) {
	if data == nil || bytes.Equal(data, o.config.data) {
		if o.config.routing != nil && asked.After(o.config.proven) {
			o.config.proven = asked
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
		if from == "store" && asked.After(o.config.proven) {
			// The store came back from a copy: it held nothing newer than what is in force.
			o.config.proven, o.viewStale = asked, true
		}
		o.n.log.Info().Int64("version", routing.Version).Int64("in-force", old).Str("from", from).Msg("config-older")
		return
	}
	o.config = configState{routing: routing, data: data, proven: asked}
	o.fleet.services, o.fleetStale = routing.Services, true
	if o.peers.arranged.IsRelay {
		// Those who rely on this daemon are to ask for it at once.
		o.publish()
		o.n.links.beat("")
	}
	o.n.log.Info().Int64("version", routing.Version).Int64("was", old).Str("from", from).Int("keys", len(routing.Keys)).
		Int("hosts", len(routing.Hosts)).Msg("config-in-force")
}

// ahead lists the daemons that tell of a newer configuration.
func (o *owner) ahead() []models.DaemonID {
	own := int64(0)
	if r := o.config.routing; r != nil {
		own = r.Version
	}
	var newer []models.DaemonID
	for id, p := range o.peers.seen {
		if p.beat.ConfigVersion > own {
			newer = append(newer, id)
		}
	}
	return newer
}

// catchUp picks a daemon to be asked for a newer configuration.
func (o *owner) catchUp(now time.Time) {
	newer := o.ahead()
	switch {
	case len(newer) == 0:
		o.peers.behind, o.peers.wants = time.Time{}, ""
		return
	case o.peers.behind.IsZero():
		o.peers.behind = now
	}
	// Where others read the store for this daemon there is nothing to wait for.
	patience := behindFor
	if !o.peers.arranged.IsMesh && !o.peers.arranged.IsRelay {
		patience = 0
	}
	if now.Sub(o.peers.behind) >= patience && !slices.Contains(newer, o.peers.wants) {
		o.peers.wants = newer[rand.IntN(len(newer))]
		o.publish()
		o.n.links.beat(o.peers.wants)
	}
}
