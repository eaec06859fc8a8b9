package daemon

import (
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
	peerSent      *metrics.Counter
	peerReceived  *metrics.Counter
	pauses        *metrics.Counter
	checkpoints   *metrics.Counter
	relayed       *metrics.Counter
	appendsFailed *metrics.Counter
}

func newStats() *stats {
	set := metrics.NewSet()
	return &stats{
		set:           set,
		applied:       set.NewCounter("lupinkeel_records_applied_total"),
		refused:       set.NewCounter("lupinkeel_records_refused_total"),
		proposed:      set.NewCounter("lupinkeel_proposals_total"),
		orders:        set.NewCounter("lupinkeel_orders_total"),
		ordersFailed:  set.NewCounter("lupinkeel_orders_failed_total"),
		peerSent:      set.NewCounter("lupinkeel_peer_sent_bytes_total"),
		peerReceived:  set.NewCounter("lupinkeel_peer_received_bytes_total"),
		pauses:        set.NewCounter("lupinkeel_process_pauses_total"),
		checkpoints:   set.NewCounter("lupinkeel_checkpoints_written_total"),
		relayed:       set.NewCounter("lupinkeel_records_relayed_total"),
		appendsFailed: set.NewCounter("lupinkeel_appends_failed_total"),
	}
}

func (s *stats) countPeerBytes(sent, received int) {
	s.peerSent.Add(sent)
	s.peerReceived.Add(received)
}

// Metrics is the set that the daemon's other parts add theirs to.
func (d *Daemon) Metrics() *metrics.Set { return d.stats.set }

// WriteMetrics writes the daemon's metrics in the text format.
func (d *Daemon) WriteMetrics(w io.Writer) { d.stats.set.WritePrometheus(w) }
