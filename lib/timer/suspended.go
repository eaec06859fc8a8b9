package timer

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the minimum length of a suspension that counts. Shorter ones are within
	// the tolerance of all documented time limits.
	minSuspension = 300 * time.Millisecond
	// bufferDrain is how long after a suspension data may arrive that was sent before its end and
	// waited in connection buffers.
	bufferDrain = 300 * time.Millisecond
	// maxClockReadTime is the maximum time between the two monotonic clock readings around a boot
	// clock reading for the comparison to be reliable; maxClockReads is how often it is
	// attempted.
	maxClockReadTime = 5 * time.Millisecond
	maxClockReads    = 3
	// maxSuspensions is how many suspensions are remembered.
	maxSuspensions = 16
)

// suspension is a period in which the machine was suspended. The monotonic clock does not advance
// during it.
type suspension struct {
	// resumedAt is when the suspension was detected, by the monotonic clock.
	resumedAt time.Time
	length    time.Duration
}

// BootTime returns the time since boot, including suspensions.
func BootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// suspensions detects suspensions of the machine by comparing a clock that advances during
// suspensions with the monotonic clock, which does not.
type suspensions struct {
	boot func() (time.Duration, error)
	// startedAt and bootAtStart are the initial readings of both clocks; counted is how far the
	// boot clock has advanced ahead of the monotonic clock since, by suspensions already
	// detected.
	startedAt   time.Time
	bootAtStart time.Duration
	counted     time.Duration
	recent      []suspension
}

// CountSuspensions makes the service detect suspensions of the machine with a clock like
// BootTime.
func (s *Service) CountSuspensions(boot func() (time.Duration, error)) error {
	at, err := boot()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspensions = suspensions{boot: boot, startedAt: time.Now(), bootAtStart: at}
	return nil
}

// detect detects a suspension that has just ended and returns its length.
func (s *suspensions) detect(now func() time.Time) time.Duration {
	if s.boot == nil {
		return 0
	}
	for range maxClockReads {
		before := now()
		boot, err := s.boot()
		after := now()
		if err != nil {
			// The clock could be read before. The suspensions detected until now stay valid.
			return 0
		}
		if after.Sub(before) > maxClockReadTime {
			continue
		}
		length := boot - s.bootAtStart - after.Sub(s.startedAt) - s.counted
		if length < minSuspension {
			return 0
		}
		s.counted += length
		s.recent = append(s.recent, suspension{resumedAt: after, length: length})
		if len(s.recent) > maxSuspensions {
			s.recent = s.recent[1:]
		}
		return length
	}
	return 0
}

// since returns how long the machine was suspended after a time. Data received within bufferDrain
// after a suspension counts as sent before it.
func (s *suspensions) since(t time.Time) time.Duration {
	total := time.Duration(0)
	for _, suspended := range s.recent {
		if t.Before(suspended.resumedAt.Add(bufferDrain)) {
			total += suspended.length
		}
	}
	return total
}

// Suspended returns how long the machine was suspended since a time. It reads the clocks on every
// call, so that a caller can check before each use of something that expires.
func (s *Service) Suspended(since time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported += s.suspensions.detect(time.Now)
	return s.suspensions.since(since)
}

// Since returns the time elapsed since a time, including suspensions. By the monotonic clock
// alone a revoked key or an expired lease would become valid again for a while after a
// suspension. The result is at most the longest duration, as for the zero time.
func (s *Service) Since(t time.Time) time.Duration {
	elapsed, suspended := time.Since(t), s.Suspended(t)
	if elapsed > math.MaxInt64-suspended {
		return math.MaxInt64
	}
	return elapsed + suspended
}
