package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// stats are the metrics of one daemon. Each daemon has a set of its own, so
// that many run in one process.
type stats struct {
	set           *metrics.Set
	applied       *metrics.Counter
	refused       *metrics.Counter
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
		refused:       set.NewCounter("lupinkeel_records_refused_total"),
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

// The kinds of control traffic that are counted apart.
const (
	trafficPeers    = "peers"
	trafficPlatform = "platform"
	trafficWatch    = "watch"
)

func (s *stats) addTraffic(set *metrics.Set) {
	s.bytes = map[string]*metrics.Counter{}
	for _, with := range []string{trafficPeers, trafficPlatform, trafficWatch} {
		for _, way := range []string{"sent", "received"} {
			s.bytes[with+way] = set.NewCounter(fmt.Sprintf("lupinkeel_control_bytes_total{with=%q,way=%q}", with, way))
		}
	}
}

func (s *stats) countBytes(with string, sent, received int) {
	s.bytes[with+"sent"].Add(sent)
	s.bytes[with+"received"].Add(received)
}

func (s *stats) countPeers(sent, received int)    { s.countBytes(trafficPeers, sent, received) }
func (s *stats) countPlatform(sent, received int) { s.countBytes(trafficPlatform, sent, received) }
func (s *stats) countWatch(sent, received int)    { s.countBytes(trafficWatch, sent, received) }

// Traffic is how many bytes of control traffic a daemon has passed.
type Traffic struct{ Peers, Platform, Watch uint64 }

// Traffic returns the bytes that have passed so far, both ways.
func (d *Daemon) Traffic() Traffic {
	both := func(with string) uint64 {
		return d.stats.bytes[with+"sent"].Get() + d.stats.bytes[with+"received"].Get()
	}
	return Traffic{Peers: both(trafficPeers), Platform: both(trafficPlatform), Watch: both(trafficWatch)}
}

// Metrics is the set that the daemon's other parts add theirs to.
func (d *Daemon) Metrics() *metrics.Set { return d.stats.set }

// WriteMetrics writes the daemon's metrics in the text format.
func (d *Daemon) WriteMetrics(w io.Writer) { d.stats.set.WritePrometheus(w) }
