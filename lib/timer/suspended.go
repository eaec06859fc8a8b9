package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// suspendedLeast is the shortest suspension that counts. Shorter ones are within the
	// slack of all bounds that are told to users.
	minSuspension = 300 * time.Millisecond
	// drain is for how long after a suspension what is received may have been sent before
	// its end: it lay in the buffers of connections meanwhile.
	bufferDrain = 300 * time.Millisecond
	// readingMost is how long the reading of two clocks may take to be relied on,
	// readings how often it is tried.
	maxClockReadTime = 5 * time.Millisecond
	maxClockReads    = 3
	// suspensionsKept is how many are remembered.
	maxSuspensions = 16
)

// suspension is time that the machine was suspended. The steady clock does not count it.
type suspension struct {
	// woken is when it was noticed, by the steady clock.
	resumedAt time.Time
	length    time.Duration
}

// BootTime is the time since the machine was started, suspensions among it.
func BootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// suspensions finds out when the machine was suspended, from a clock that counts that time
// beside the steady one that does not.
type suspensions struct {
	boot func() (time.Duration, error)
	// began is where both clocks stood at first, ahead how far the one has come ahead of
	// the other since.
	startedAt   time.Time
	bootAtStart time.Duration
	counted     time.Duration
	recent      []suspension
}

// CountSuspensions has the service count time in which the machine is suspended, by a clock
// as BootTime.
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

// look notices a suspension that has just ended, and returns its length.
func (s *suspensions) detect(now func() time.Time) time.Duration {
	if s.boot == nil {
		return 0
	}
	for range maxClockReads {
		before := now()
		boot, err := s.boot()
		after := now()
		if err != nil {
			// It could be read before; what was seen then holds.
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

// after is how long the machine was suspended since a time. What was received just after a
// suspension counts as from before.
func (s *suspensions) since(t time.Time) time.Duration {
	total := time.Duration(0)
	for _, suspended := range s.recent {
		if t.Before(suspended.resumedAt.Add(bufferDrain)) {
			total += suspended.length
		}
	}
	return total
}

// Suspended is how long the machine was suspended since a time. It is looked up at once:
// whoever acts on something that is valid for a time asks before each act.
func (s *Service) Suspended(since time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported += s.suspensions.detect(time.Now)
	return s.suspensions.since(since)
}

// Since is how long ago a time was, suspensions among it: by the steady clock alone a key
// that was taken away, or a lease, would be good again for a while after one.
func (s *Service) Since(t time.Time) time.Duration { return time.Since(t) + s.Suspended(t) }
