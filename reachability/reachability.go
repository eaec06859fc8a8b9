// Package reachability distinguishes a daemon's own partition from failures of upstream instances.
// A failed connection alone does not tell them apart; that another daemon connects to the same
// instance at the same time does.
//
// The package is pure: it does no I/O, and the caller passes in all times.
package reachability

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// recentAttempts is the number of instances whose latest attempts decide whether the daemon is
	// partitioned.
	recentAttempts = 6
	// decisiveAttempts is how many of them must agree to begin or end a partition.
	decisiveAttempts = 4
	// maxAge is the age at which an attempt no longer counts.
	maxAge = 5 * time.Second
	// detourTime is how long an instance is reached through other daemons after a failed attempt,
	// until the next direct one.
	detourTime = time.Second
)

// Outcome is the outcome of an attempt to connect to an instance directly.
type Outcome uint8

// Outcomes of attempts. An attempt that failed everywhere says nothing about the daemon's network
// and is not recorded.
const (
	// Connected: the instance accepted the connection.
	Connected Outcome = iota + 1
	// Bypassed: the attempt failed, but another daemon connected to the instance.
	Bypassed
)

// Tracker holds the latest outcome for each instance. The zero value has none. It is not safe for
// concurrent use.
type Tracker struct {
	// attempts holds the latest attempt at each instance, the newest last.
	attempts    []attempt
	partitioned bool
}

type attempt struct {
	addr    netip.AddrPort
	outcome Outcome
	at      time.Time
}

// Record records the outcome of an attempt, and reports whether it begins or ends a partition.
func (t *Tracker) Record(addr netip.AddrPort, outcome Outcome, now time.Time) bool {
	t.attempts = slices.DeleteFunc(t.attempts, func(a attempt) bool { return a.addr == addr || now.Sub(a.at) > maxAge })
	t.attempts = append(t.attempts, attempt{addr, outcome, now})
	recent := t.attempts[max(0, len(t.attempts)-recentAttempts):]
	count := 0
	for _, a := range recent {
		if a.outcome == outcome {
			count++
		}
	}
	before := t.partitioned
	// There may be fewer instances left than are decisive otherwise.
	allConnected := outcome == Connected && count == len(t.attempts)
	if count >= decisiveAttempts || allConnected {
		t.partitioned = outcome == Bypassed
	}
	if before == t.partitioned {
		return false
	}
	// Earlier attempts say nothing about the network from now on.
	t.attempts = slices.DeleteFunc(t.attempts, func(a attempt) bool { return a.outcome != outcome })
	return true
}

// Partitioned reports whether the daemon is partitioned from most instances.
func (t *Tracker) Partitioned() bool { return t.partitioned }

// NeedsDetour reports whether connections to an instance should go through another daemon.
func (t *Tracker) NeedsDetour(addr netip.AddrPort, now time.Time) bool {
	for _, a := range t.attempts {
		if a.addr != addr || now.Sub(a.at) > maxAge {
			continue
		}
		if a.outcome == Connected {
			return false
		}
		return t.partitioned || now.Sub(a.at) < detourTime
	}
	return t.partitioned
}
