package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the metrics of one daemon. Each daemon has its own set because several run in one
// process.
type stats struct {
	set           *metrics.Set
	applied       *metrics.Counter
	rejected      *metrics.Counter
	proposed      *metrics.Counter
	orders        *metrics.Counter
	ordersFailed  *metrics.Counter
	bytes         map[string]*metrics.Counter
	pauses        *metrics.Counter
	checkpoints   *metrics.Counter
	relayed       *metrics.Counter
	appendsFailed *metrics.Counter
	trailDropped  *metrics.Counter
}

func newStats() *stats {
	set := metrics.NewSet()
	s := &stats{
		set:           set,
		applied:       set.NewCounter("lupinkeel_records_applied_total"),
		rejected:      set.NewCounter("lupinkeel_records_refused_total"),
		proposed:      set.NewCounter("lupinkeel_proposals_total"),
		orders:        set.NewCounter("lupinkeel_orders_total"),
		ordersFailed:  set.NewCounter("lupinkeel_orders_failed_total"),
		pauses:        set.NewCounter("lupinkeel_process_pauses_total"),
		checkpoints:   set.NewCounter("lupinkeel_checkpoints_written_total"),
		relayed:       set.NewCounter("lupinkeel_records_relayed_total"),
		trailDropped:  set.NewCounter("lupinkeel_trail_dropped_total"),
		appendsFailed: set.NewCounter("lupinkeel_appends_failed_total"),
	}
	s.addTraffic(set)
	return s
}

// Kinds of control traffic that are counted separately.
const (
	trafficPeers    = "peers"
	trafficPlatform = "platform"
	trafficWatch    = "watch"
)

func (s *stats) addTraffic(set *metrics.Set) {
	s.bytes = map[string]*metrics.Counter{}
	for _, kind := range []string{trafficPeers, trafficPlatform, trafficWatch} {
		for _, direction := range []string{"sent", "received"} {
			s.bytes[kind+direction] = set.NewCounter(fmt.Sprintf("lupinkeel_control_bytes_total{with=%q,way=%q}", kind, direction))
		}
	}
}

func (s *stats) countBytes(kind string, sent, received int) {
	s.bytes[kind+"sent"].Add(sent)
	s.bytes[kind+"received"].Add(received)
}

func (s *stats) countPeers(sent, received int)    { s.countBytes(trafficPeers, sent, received) }
func (s *stats) countPlatform(sent, received int) { s.countBytes(trafficPlatform, sent, received) }
func (s *stats) countWatch(sent, received int)    { s.countBytes(trafficWatch, sent, received) }

// Traffic holds the bytes of control traffic of a daemon, both ways.
type Traffic struct{ Peers, Platform, Watch uint64 }

// Traffic returns the bytes sent and received so far.
func (d *Daemon) Traffic() Traffic {
	totalBytes := func(kind string) uint64 {
		return d.stats.bytes[kind+"sent"].Get() + d.stats.bytes[kind+"received"].Get()
	}
	return Traffic{Peers: totalBytes(trafficPeers), Platform: totalBytes(trafficPlatform), Watch: totalBytes(trafficWatch)}
}

// Metrics returns the set to which the daemon's other parts add their metrics.
func (d *Daemon) Metrics() *metrics.Set { return d.stats.set }

// WriteMetrics writes the daemon's metrics in the Prometheus text format.
func (d *Daemon) WriteMetrics(w io.Writer) { d.stats.set.WritePrometheus(w) }
