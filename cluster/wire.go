package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
)

// Kinds of frames between daemons.
const (
	frameHeartbeat frame.Kind = iota + 1
	frameConfig
	frameUpdate
	// frameLoads holds news of nothing but loads.
	frameLoads
	// frameAsk asks for a permit, frameGrant answers on the same connection.
	framePermitRequest
	framePermitReply
)

// frameNames name the kinds of frames in the metrics.
var frameNames = map[frame.Kind]string{
	frameHeartbeat: "heartbeats", frameConfig: "configurations", frameUpdate: "instances", frameLoads: "loads",
	framePermitRequest: "permits", framePermitReply: "permits",
}

// Heartbeat is what a daemon tells every other one. The first on a connection
// tells all; later ones leave out what does not change while a daemon runs.
type Heartbeat struct {
	From        models.DaemonID `msgpack:"id,omitempty"`
	Incarnation int64           `msgpack:"in,omitempty"`
	// Addr is where the daemon listens for others, so that one that hears of
	// it for the first time can answer.
	Addr string      `msgpack:"ad,omitempty"`
	Zone models.Zone `msgpack:"z,omitempty"`
	// Power is the part of a core that the daemon may use.
	Power float64 `msgpack:"p,omitempty"`
	// Unpacks tells that the daemon reads compressed frames.
	AcceptsCompressed bool `msgpack:"up,omitempty"`
	// ConfigVersion is the version in force, ConfigAge how long ago it was
	// known to be the newest.
	ConfigVersion int64         `msgpack:"cv,omitempty"`
	ConfigAge     time.Duration `msgpack:"ca,omitempty"`
	// Term is that of the planner that the daemon believes in.
	Term int64 `msgpack:"t,omitempty"`
	// Plans tells that the sender plans: a sign of life for those who would take over,
	// also while what it does keeps it from telling news.
	IsPlanner bool `msgpack:"pl,omitempty"`
	// Wants names a daemon that is to hand its configuration over, since it
	// has a newer one.
	ConfigSource models.DaemonID `msgpack:"w2,omitempty"`
	// Every is how often the sender tells the receiver of itself, zero for
	// heartbeatEvery.
	Interval time.Duration `msgpack:"ev,omitempty"`
	// Relies tells that the sender takes the receiver for a relay, RelaysFirst
	// that it uses the receiver's word of loads.
	UsesRelay        bool `msgpack:"rl,omitempty"`
	UsesPrimaryRelay bool `msgpack:"rf,omitempty"`
	// Size is how many daemons the sender knows of, itself among them.
	Size int `msgpack:"sz,omitempty"`
	// Missed tells that the sender missed news of the planner, and wants the
	// receiver, its relay, to tell all that it knows of instances.
	MissedUpdates bool `msgpack:"ms,omitempty"`
	// EntriesAge is how long ago the sender knew all entries of instances; an older
	// program leaves it out.
	EntriesAge time.Duration `msgpack:"ea,omitempty"`
	// Era is the highest of the store that the sender knows of.
	Era int64 `msgpack:"er,omitempty"`
	// Stalled are heads at which nothing moves.
	Stalled []StalledHead `msgpack:"s,omitempty"`
	// Work is what the daemon's callers ask of each model, in seconds of a
	// replica group for each second.
	Work map[models.ModelName]float32 `msgpack:"w,omitempty"`
	// ZoneWork is the same of all daemons of the sender's zone. Relays tell it
	// those of other zones.
	ZoneWork map[models.ModelName]float32 `msgpack:"zw,omitempty"`
	// Grants is for how many daemons the sender asks the receiver for permits, by zone of
	// the instances, Granters who grants permits by what the sender, a relay, knows. Both
	// are told while instances name limits.
	Grants   map[models.Zone]int             `msgpack:"gr,omitempty"`
	Granters map[models.Zone]models.DaemonID `msgpack:"gs,omitempty"`
}

// short leaves out what the first heartbeat on a connection told for good.
func (b Heartbeat) abbreviated() Heartbeat {
	b.From, b.Incarnation, b.Addr, b.Zone, b.Power, b.AcceptsCompressed = "", 0, "", "", 0, false
	return b
}

// completed is the heartbeat with what the first one on its connection told.
func (b Heartbeat) completed(first Heartbeat) Heartbeat {
	if b.From == "" {
		b.From, b.Incarnation, b.Addr, b.Zone = first.From, first.Incarnation, first.Addr, first.Zone
		b.Power, b.AcceptsCompressed = first.Power, first.AcceptsCompressed
	}
	return b
}

// StalledHead names a head at which nothing moves.
type StalledHead struct {
	Group models.GroupKey   `msgpack:"g"`
	Head  models.InstanceID `msgpack:"h"`
}

// ConfigCopy is a configuration handed from one daemon to another.
type ConfigCopy struct {
	Version int64         `msgpack:"v"`
	Age     time.Duration `msgpack:"a"`
	Data    []byte        `msgpack:"d"`
}

// rosterEntry is what a daemon writes of itself into the store.
type rosterEntry struct {
	Zone        models.Zone `msgpack:"z"`
	Addr        string      `msgpack:"a"`
	Incarnation int64       `msgpack:"i"`
	// Power is the part of a core that the daemon may use.
	Power float64 `msgpack:"p"`
	// Unpacks tells that the daemon reads compressed frames.
	AcceptsCompressed bool `msgpack:"up,omitempty"`
}

// loadsOf tells whose loads a message holds.
type loadScope uint8

const (
	// loadsOfOne are those of the daemon that tells them.
	scopeDaemon loadScope = iota
	// loadsOfZone are those of all daemons of its zone.
	scopeZone
	// loadsOfAll are those of all daemons, the receiver among them.
	scopeCluster
)

// Load is what an instance has to do for one daemon, or for several.
type Load struct {
	// Requests counts those under way, Unread the prompt tokens of those
	// that have had no answer yet.
	Requests int `msgpack:"r,omitempty"`
	Unread   int `msgpack:"u,omitempty"`
}

// News is what a daemon tells others besides its heartbeats: its loads, the
// heads that stand still, of instances that crashed, name a limit or ask for something, and
// of all if it plans. Each message holds one of the six.
type Update struct {
	// From may be empty: then it is the daemon, and its incarnation, that the
	// heartbeats on the connection tell.
	From models.DaemonID `msgpack:"id,omitempty"`
	// Incarnation and Change number the state of the loads that is told: what
	// comes by way of another daemon may come after something newer.
	Incarnation  int64  `msgpack:"in,omitempty"`
	LoadsVersion uint64 `msgpack:"c,omitempty"`
	// Spread asks the receiver to pass the news on to its zone and to the relays
	// of the others: the sender is no relay.
	Forward bool `msgpack:"sp,omitempty"`
	// All tells that there are no loads but these, Of whose they are.
	Full  bool                       `msgpack:"a,omitempty"`
	Scope loadScope                  `msgpack:"of,omitempty"`
	Loads map[models.InstanceID]Load `msgpack:"l,omitempty"`
	// Stalled are heads that the daemon just found to stand still.
	Stalled []StalledHead `msgpack:"s,omitempty"`
	// Instances are told by the daemon that plans, in its term. Feed counts
	// such news, so that a daemon knows when it missed some.
	Term      int64            `msgpack:"t,omitempty"`
	Seq       int64            `msgpack:"f,omitempty"`
	Instances []InstanceUpdate `msgpack:"n,omitempty"`
	// Entries tells which of the store's records of instances are told by now. An older
	// program leaves it out.
	Entries *EntriesRange `msgpack:"en,omitempty"`
	// Whole tells that there are no instances but these. A relay tells so what it
	// knows, as of the planner's news with this number.
	Snapshot bool `msgpack:"wh,omitempty"`
	// Ended tells that the daemon plans no more.
	TermEnded bool `msgpack:"e,omitempty"`
	// Crashes are instances that ended with requests on them.
	Crashes []CrashUpdate `msgpack:"cr,omitempty"`
	// Limits are what instances told of the requests a second that they take.
	Limits []LimitUpdate `msgpack:"lm,omitempty"`
	// Signals are what instances asked for in their answers.
	Signals []SignalUpdate `msgpack:"sg,omitempty"`
}

// EntriesTold tells that all changes by the store's records of instances between two
// places are told.
type EntriesRange struct {
	Since models.Position `msgpack:"s"`
	End   models.Position `msgpack:"e"`
	// Age is how long ago the store held no records behind End.
	Age time.Duration `msgpack:"a,omitempty"`
}

// InstanceNews is what the daemon that plans has learned of an instance.
type InstanceUpdate struct {
	Instance models.UpstreamInstance `msgpack:"i"`
	// Age is how long ago it was so.
	Age time.Duration `msgpack:"a,omitempty"`
	// Lost tells that the instance does not answer, Gone that its entry went.
	Lost bool `msgpack:"l,omitempty"`
	Gone bool `msgpack:"g,omitempty"`
	// Missing is for how long a store that came back from a copy lacks its entry, zero if
	// it has one.
	Missing time.Duration `msgpack:"m,omitempty"`
}
