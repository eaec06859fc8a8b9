package entrance

import (
	"runtime/metrics"
	"time"
)

const (
	// delayInterval is the interval at which delays are measured, restInterval the one while the
	// limit is far: 100 wake-ups a second take 0.3% of a core.
	delayInterval = 10 * time.Millisecond
	restInterval  = 100 * time.Millisecond
	// lateWeight is the weight of the last tick in the mean lateness.
	lateWeight = 0.125
	// maxLate bounds the lateness of one tick, so that a single pause of the process is forgotten
	// within some ticks.
	maxLate = 100 * time.Millisecond

	schedulerLatencies = "/sched/latencies:seconds"
	// schedulerInterval is the interval at which the scheduler's latencies are read, which takes
	// some 20 us.
	schedulerInterval = 100 * time.Millisecond
	// minTransitions is the number of measured goroutines from which on their median is meaningful.
	minTransitions = 16
)

// runDelay measures how long work that is ready waits until it runs, which is how a daemon that is
// short of processor time shows. The lateness of the clock tells how late the process gets to run;
// the scheduler's latencies tell how long its goroutines wait for each other.
type runDelay struct {
	// last is the last measured delay, late the mean lateness of the clock.
	last, late time.Duration

	sample []metrics.Sample
	// counts is the scheduler's histogram as of readAt, waited the median since the time before.
	counts []uint64
	readAt time.Time
	waited time.Duration
}

func newRunDelay() *runDelay {
	return &runDelay{sample: []metrics.Sample{{Name: schedulerLatencies}}}
}

// measure returns the delay, given how late the clock has just ticked. Unless the daemon is busy it
// does not read the scheduler's latencies.
func (d *runDelay) measure(now time.Time, late time.Duration, busy bool) time.Duration {
	d.late += time.Duration(lateWeight * float64(min(late, maxLate)-d.late))
	switch {
	case !busy:
		d.waited = 0
	case now.Sub(d.readAt) >= schedulerInterval:
		d.readAt, d.waited = now, d.readScheduler()
	}
	d.last = max(d.late, d.waited)
	return d.last
}

// readScheduler returns the median time that goroutines waited to run since the last call.
func (d *runDelay) readScheduler() time.Duration {
	metrics.Read(d.sample)
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	if d.counts == nil {
		d.counts = make([]uint64, len(h.Counts))
	}
	defer copy(d.counts, h.Counts)
	total := uint64(0)
	for n, count := range h.Counts {
		total += count - d.counts[n]
	}
	if total < minTransitions {
		return 0
	}
	seen := uint64(0)
	for n, count := range h.Counts {
		if seen += count - d.counts[n]; seen > total/2 {
			// The lower bound of the first bucket is infinite.
			return time.Duration(max(0, h.Buckets[n]) * float64(time.Second))
		}
	}
	return 0
}
