package cluster

import (
	"cmp"
	"context"
	"errors"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

const (
	// watchInterval is the interval at which the owner is checked, which takes a turn at each of its own
	// ticks at least.
	watchInterval = 500 * time.Millisecond
	// hangTimeout is how long the owner may take no turn until the daemon isn't ready any more, and
	// hangEndTimeout until its process ends.
	hangTimeout    = 1500 * time.Millisecond
	hangEndTimeout = 30 * time.Second
	// maxStackBytes bounds the stacks of all goroutines that are looked at, maxStacks the number of those
	// that are logged, and maxStackLen the length of each in bytes: log lines are bounded.
	maxStackBytes = 1 << 20
	maxStacks     = 64
	maxStackLen   = 3 << 10
)

// ErrHangs means that the owner of a daemon's state has taken no turn for long: a deadlock, or a call that
// does not return. Such a daemon does not recover by itself.
var ErrHangs = errors.New("the daemon hangs")

// watchdog tells by ticks whether the owner hangs.
type watchdog struct {
	// turn is the last seen turn of the owner, stuck the time of ticks since which it has not changed.
	turn  uint64
	stuck time.Duration
}

// observe returns how long the owner has taken no turn. Time in which the process was paused does not
// count; a process that is short of processor time gets fewer ticks.
func (w *watchdog) observe(turn uint64, tick timer.Tick) time.Duration {
	if turn != w.turn || tick.Paused > 0 {
		w.turn, w.stuck = turn, 0
		return 0
	}
	w.stuck += watchInterval
	return w.stuck
}

// Watch logs when the owner hangs, with the stacks of goroutines, and returns ErrHangs if it does so for
// hangEndTimeout: the process is to end then, since the platform starts it again.
func (n *Node) Watch(ctx context.Context) error {
	ticks := n.clock.Subscribe(watchInterval)
	var w watchdog
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			stuck := w.observe(n.turns.Load(), tick)
			n.noteHang(stuck)
			if stuck >= hangEndTimeout {
				return ErrHangs
			}
		}
	}
}

// noteHang records whether the owner hangs, given how long it has taken no turn.
func (n *Node) noteHang(stuck time.Duration) {
	hangs := stuck >= hangTimeout
	if hangs == n.hangs.Swap(hangs) {
		return
	}
	if !hangs {
		n.log.Warn().Msg("owner-resumed")
		return
	}
	all := make([]byte, maxStackBytes)
	stacks := blockedFirst(string(all[:runtime.Stack(all, true)]))
	n.log.Error().Dur("for", stuck).Int("goroutines", len(stacks)).Msg("owner-hangs")
	for _, stack := range stacks[:min(len(stacks), maxStacks)] {
		n.log.Error().Str("stack", stack[:min(len(stack), maxStackLen)]).Msg("goroutine")
	}
}

// blockedFirst splits the stacks of goroutines, and puts those first that may be part of a deadlock: the
// owner, then those that wait for a mutex.
func blockedFirst(text string) []string {
	rank := func(stack string) int {
		switch {
		case strings.Contains(stack, "(*owner).run"):
			return 0
		case strings.Contains(stack, "sync.(*Mutex).Lock"), strings.Contains(stack, "sync.(*RWMutex)"):
			return 1
		default:
			return 2
		}
	}
	stacks := strings.Split(strings.TrimSpace(text), "\n\n")
	slices.SortStableFunc(stacks, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return stacks
}

// Hangs reports whether the owner of the node's state hangs, so that the daemon is not ready.
func (n *Node) Hangs() bool { return n.hangs.Load() }
