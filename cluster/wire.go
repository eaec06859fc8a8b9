package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/lib/echo"
	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
)

// Kinds of frames between daemons.
const (
	frameHeartbeat frame.Kind = iota + 1
	frameConfig
	frameUpdate
	// frameLoads holds an update that contains loads only.
	frameLoads
	// framePermitRequest asks for a permit; framePermitReply answers on the same connection.
	framePermitRequest
	framePermitReply
	// frameTunnel asks for a tunnel to an instance; frameTunnelReply answers on the same connection.
	frameTunnel
	frameTunnelReply
)

// frameNames are the names of the frame kinds in metrics.
var frameNames = map[frame.Kind]string{
	frameHeartbeat: "heartbeats", frameConfig: "configurations", frameUpdate: "instances", frameLoads: "loads",
	framePermitRequest: "permits", framePermitReply: "permits",
	frameTunnel: "tunnels", frameTunnelReply: "tunnels",
}

// Heartbeat is the periodic message from each daemon to its peers. The first one on a connection is
// complete; later ones omit fields that do not change while a daemon runs.
type Heartbeat struct {
	From        models.DaemonID `msgpack:"id,omitempty"`
	Incarnation int64           `msgpack:"in,omitempty"`
	// Addr is the address at which the sender accepts connections of daemons, so that a receiver
	// that does not know it yet can connect.
	Addr string      `msgpack:"ad,omitempty"`
	Zone models.Zone `msgpack:"z,omitempty"`
	// CPUCores is the number of processor cores that the daemon may use.
	CPUCores float64 `msgpack:"p,omitempty"`
	// AcceptsCompressed is set if the daemon reads compressed frames.
	AcceptsCompressed bool `msgpack:"up,omitempty"`
	// Clock is a reading of the sender's clock, Echo the last one that the sender received from the
	// receiver. It dates the ages in the heartbeat. Older versions omit both.
	Clock echo.Reading `msgpack:"ck,omitempty"`
	Echo  echo.Echo    `msgpack:"ec,omitempty"`
	// ConfigVersion is the version of the configuration in force, ConfigAge the time since it was
	// last confirmed to be the newest.
	ConfigVersion int64         `msgpack:"cv,omitempty"`
	ConfigAge     time.Duration `msgpack:"ca,omitempty"`
	// Term is the newest planner term that the sender knows of.
	Term int64 `msgpack:"t,omitempty"`
	// IsPlanner is set if the sender is the planner. It keeps other daemons from starting an
	// election while the planner is too busy to broadcast updates.
	IsPlanner bool `msgpack:"pl,omitempty"`
	// ConfigSource is the daemon that is asked to send its configuration because it has a newer
	// one.
	ConfigSource models.DaemonID `msgpack:"w2,omitempty"`
	// Interval is the sender's heartbeat interval to the receiver; 0 means heartbeatInterval.
	Interval time.Duration `msgpack:"ev,omitempty"`
	// UsesRelay is set if the sender uses the receiver as a relay, UsesLoads if it uses the
	// receiver as its load relay, whose load totals it applies.
	UsesRelay bool `msgpack:"rl,omitempty"`
	UsesLoads bool `msgpack:"rf,omitempty"`
	// Size is the number of daemons that the sender knows of, including itself.
	Size int `msgpack:"sz,omitempty"`
	// ZoneSize is the number of daemons in the sender's zone, if the sender is a relay.
	ZoneSize int `msgpack:"zs,omitempty"`
	// Registered is set if the sender is in the store's roster.
	Registered bool `msgpack:"rg,omitempty"`
	// MissedUpdates is set if the sender missed updates of the planner and asks the receiver, its
	// relay, for a snapshot of all instances.
	MissedUpdates bool `msgpack:"ms,omitempty"`
	// EntriesAge is the time since the sender last knew all entries of instances. Older versions
	// omit it.
	EntriesAge time.Duration `msgpack:"ea,omitempty"`
	// Era is the highest store era that the sender has seen.
	Era int64 `msgpack:"er,omitempty"`
	// Evacuated are the zones that operators evacuate, according to their records before
	// OperatorsEnd. ConfigAge applies to them as well.
	Evacuated    []models.Zone   `msgpack:"ez,omitempty"`
	OperatorsEnd models.Position `msgpack:"oe"`
	// Partitioned is set if the sender cannot connect to most instances that other daemons reach.
	Partitioned bool `msgpack:"pt,omitempty"`
	// Overloaded is set if the sender refuses connections of callers for a considerable part of the
	// time.
	Overloaded bool `msgpack:"ol,omitempty"`
	// Leaving is set if the sender's process is about to end as planned.
	Leaving bool `msgpack:"lv,omitempty"`
	// Stalled are the heads that the sender found stalled.
	Stalled []StalledHead `msgpack:"s,omitempty"`
	// Demand is the demand of the sender's callers for each model. Older versions send and expect a
	// single number for each model as "w", which a struct in its place would make unreadable.
	Demand map[models.ModelName]ModelDemand `msgpack:"dm,omitempty"`
	// ZoneDemand is the total Demand of all daemons in the sender's zone. Relays send it to relays of
	// other zones.
	ZoneDemand map[models.ModelName]ModelDemand `msgpack:"zd,omitempty"`
	// ServiceDemand and ZoneServiceDemand are the same by service. They are sent if several services
	// have engines.
	ServiceDemand     serviceDemand `msgpack:"sd,omitempty"`
	ZoneServiceDemand serviceDemand `msgpack:"zsd,omitempty"`
	// Grants is, by zone of the instances, the number of daemons for which the sender requests
	// permits from the receiver. Granters are the granters of permits as the sender, a relay, knows
	// them. Both are sent only while some instance has a rate limit.
	Grants   map[models.Zone]int             `msgpack:"gr,omitempty"`
	Granters map[models.Zone]models.DaemonID `msgpack:"gs,omitempty"`
}

// isImpaired reports whether the sender is partitioned or overloaded, so that others do better what
// any daemon could do.
func (b Heartbeat) isImpaired() bool { return b.Partitioned || b.Overloaded }

// abbreviated omits the fields that the first heartbeat on a connection has sent.
func (b Heartbeat) abbreviated() Heartbeat {
	b.From, b.Incarnation, b.Addr, b.Zone, b.CPUCores, b.AcceptsCompressed = "", 0, "", "", 0, false
	return b
}

// completed fills in the fields that the first heartbeat on the connection sent.
func (b Heartbeat) completed(first Heartbeat) Heartbeat {
	if b.From == "" {
		b.From, b.Incarnation, b.Addr, b.Zone = first.From, first.Incarnation, first.Addr, first.Zone
		b.CPUCores, b.AcceptsCompressed = first.CPUCores, first.AcceptsCompressed
	}
	return b
}

// StalledHead identifies the head of a stalled group.
type StalledHead struct {
	Group models.GroupKey   `msgpack:"g"`
	Head  models.InstanceID `msgpack:"h"`
}

// ConfigCopy is a configuration sent from one daemon to another. Age is as of Clock, a reading of the
// sender's clock.
type ConfigCopy struct {
	Version int64         `msgpack:"v"`
	Clock   echo.Reading  `msgpack:"ck,omitempty"`
	Age     time.Duration `msgpack:"a"`
	Data    []byte        `msgpack:"d"`
}

// rosterEntry is a daemon's own record in the store's roster.
type rosterEntry struct {
	Zone        models.Zone `msgpack:"z"`
	Addr        string      `msgpack:"a"`
	Incarnation int64       `msgpack:"i"`
	// CPUCores is the number of processor cores that the daemon may use.
	CPUCores float64 `msgpack:"p"`
	// AcceptsCompressed is set if the daemon reads compressed frames.
	AcceptsCompressed bool `msgpack:"up,omitempty"`
}

// loadScope is the set of daemons whose loads a message holds.
type loadScope uint8

const (
	// scopeDaemon: the loads of the sender.
	scopeDaemon loadScope = iota
	// scopeZone: the total over all daemons of the sender's zone.
	scopeZone
	// scopeCluster: the total over all daemons, including the receiver.
	scopeCluster
)

// Load is the load of one or several daemons on an instance.
type Load struct {
	// Requests is the number of requests in flight, PrefillTokens the number of prompt tokens of
	// requests that have no response yet.
	Requests      int `msgpack:"r,omitempty"`
	PrefillTokens int `msgpack:"u,omitempty"`
}

// Update is any message between daemons that is not a heartbeat. Each one holds one of: loads,
// stalled heads, crashes, rate limits, signals, or, from the planner or a relay, instances.
type Update struct {
	// From is empty if the sender is the daemon, in the incarnation, that sends the heartbeats on
	// the connection.
	From models.DaemonID `msgpack:"id,omitempty"`
	// Clock is a reading of the clock of the daemon that sends the heartbeats on the connection. The
	// ages in the update are as of this reading less Delay, which is the time that a forwarded update
	// took to arrive at that daemon. It is 0 if this is not known, and in loads.
	Clock echo.Reading  `msgpack:"ck,omitempty"`
	Delay time.Duration `msgpack:"dl,omitempty"`
	// Incarnation and LoadsVersion order the states of a daemon's loads. A message that comes by
	// way of another daemon may arrive after a newer one.
	Incarnation  int64  `msgpack:"in,omitempty"`
	LoadsVersion uint64 `msgpack:"c,omitempty"`
	// Forward asks the receiver, a relay, to forward the update to its zone and to the relays of
	// other zones. Senders that are no relays set it.
	Forward bool `msgpack:"sp,omitempty"`
	// Full is set if loads that are not listed are zero. Scope is the set of daemons whose loads they
	// are.
	Full  bool                       `msgpack:"a,omitempty"`
	Scope loadScope                  `msgpack:"of,omitempty"`
	Loads map[models.InstanceID]Load `msgpack:"l,omitempty"`
	// Stalled are heads that the sender has just found stalled.
	Stalled []StalledHead `msgpack:"s,omitempty"`
	// Instances are changes that the planner broadcasts in its term. Seq numbers the broadcasts, so
	// that receivers detect missed ones.
	Term      int64            `msgpack:"t,omitempty"`
	Seq       int64            `msgpack:"f,omitempty"`
	Instances []InstanceUpdate `msgpack:"n,omitempty"`
	// Entries is the range of the store's entry records that the update covers. Older versions omit
	// it.
	Entries *EntriesRange `msgpack:"en,omitempty"`
	// Snapshot is set if Instances lists all instances. A relay sends it; Seq is then the planner's
	// newest update that it includes.
	Snapshot bool `msgpack:"wh,omitempty"`
	// TermEnded is set if the planner gives up its term.
	TermEnded bool `msgpack:"e,omitempty"`
	// Crashes are instances that crashed with requests in flight.
	Crashes []CrashUpdate `msgpack:"cr,omitempty"`
	// Limits are rate limits that instances announced in responses.
	Limits []LimitUpdate `msgpack:"lm,omitempty"`
	// Signals are backoff and leaving signals from instances' responses.
	Signals []SignalUpdate `msgpack:"sg,omitempty"`
}

// EntriesRange is a range of the store's entry records, all of whose changes an update covers.
type EntriesRange struct {
	Since models.Position `msgpack:"s"`
	End   models.Position `msgpack:"e"`
	// Age is the time since the store held no records behind End.
	Age time.Duration `msgpack:"a,omitempty"`
}

// InstanceUpdate is the state of an instance as the planner or a relay knows it.
type InstanceUpdate struct {
	Instance models.UpstreamInstance `msgpack:"i"`
	// Age is the time since the instance had this state.
	Age time.Duration `msgpack:"a,omitempty"`
	// Lost is set if the instance does not answer, Gone if its entry was removed.
	Lost bool `msgpack:"l,omitempty"`
	Gone bool `msgpack:"g,omitempty"`
	// Missing is the time for which a restored store has lacked the instance's entry; 0 if the
	// store has it.
	Missing time.Duration `msgpack:"m,omitempty"`
	// CorrectedThrough is the position up to which the sender knew the store's entry records when they
	// last corrected the instance's start time to an earlier one; zero if they never did.
	CorrectedThrough models.Position `msgpack:"c,omitempty"`
}
