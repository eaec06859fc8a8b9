package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Gateway holds the settings of a daemon on the users' platform.
type Gateway struct {
	ID   models.DaemonID
	Zone models.Zone
	// Listen is where callers come, Ready where the balancer asks, Metrics
	// where metrics are served, Peer where other daemons come.
	Listen  netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	Peer    netip.AddrPort
	Store   netip.AddrPort
	// LeaseMin is the shortest lease that the store grants.
	LeaseMin time.Duration
	// InstanceHeartbeat is how often instances write their entries.
	InstanceHeartbeat time.Duration
	// KeysBound is within what time a key that was taken away is refused,
	// ConfigBound within what a configuration is in force.
	KeysBound   time.Duration
	ConfigBound time.Duration
	// StrictKeys tells that no key may be accepted later than KeysBound after it
	// was taken away. Otherwise a daemon that can't show that its keys are
	// current accepts those it knows for up to StaleKeys.
	StrictKeys  bool
	StaleKeys   time.Duration
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	StopGrace   time.Duration
	// Power is the part of a core that the process may use; the daemons with
	// the most of it take the duties.
	CPUCores float64
	// Memory is what the process may use, in MB; 0 sets no bound.
	MemoryMB float64
}

// defaultStaleKeys is how long regions lose each other at the size planned for,
// now and then.
const defaultStaleKeys = time.Hour

// keysPart of keysWhole is the part of the bound for taken keys within which
// their newest state must be proved: the rest is for requests under way.
const (
	keysProofNumerator   = 8
	keysProofDenominator = 10
)

// KeysProof is how old the proof that no key was taken away may be for a key to
// be accepted.
func (s Gateway) MaxKeysProofAge() time.Duration {
	if s.StrictKeys {
		return s.KeysBound * keysProofNumerator / keysProofDenominator
	}
	return s.StaleKeys
}

// GatewayFlags are the flags that LoadGateway reads.
func GatewayFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("id", "name of this daemon", ""),
		stringFlag("zone", "availability zone of this daemon", ""),
		stringFlag("listen", "address for callers", "127.0.0.1:7700"),
		stringFlag("ready", "address at which the balancer asks whether to send callers", "127.0.0.1:7701"),
		stringFlag("metrics", "address for metrics", "127.0.0.1:7703"),
		stringFlag("peer", "address for other daemons", "127.0.0.1:7702"),
		stringFlag("store", "address of the platform's store", ""),
		durationFlag("lease-min", "shortest lease that the store grants", time.Second),
		durationFlag("instance-heartbeat", "how often instances write their entries", 1200*time.Millisecond),
		durationFlag("keys-bound", "within what time a key that was taken away is refused", 5*time.Second),
		durationFlag("config-bound", "within what time a configuration is in force", 2*time.Second),
		&cli.BoolFlag{Name: "strict-keys", Usage: "refuse all keys while it can't be shown that none was taken away", Value: true, EnvVars: []string{EnvVar("strict-keys")}},
		durationFlag("stale-keys", "without strict-keys, how long known keys are accepted without that proof", defaultStaleKeys),
		&cli.Float64Flag{Name: "retry-ratio", Usage: "repeats for each request, over all daemons", Value: 0.2, EnvVars: []string{EnvVar("retry-ratio")}},
		&cli.Float64Flag{Name: "retry-slack", Usage: "repeats beyond the ratio in each window, over all daemons", Value: 100, EnvVars: []string{EnvVar("retry-slack")}},
		durationFlag("retry-window", "window of the budget for repeats", 10*time.Second),
		durationFlag("stop-grace", "how long a planned stop may take", 8*time.Second),
		&cli.Float64Flag{Name: "power", Usage: "part of a core that the process may use", Value: 1, EnvVars: []string{EnvVar("power")}},
		&cli.Float64Flag{Name: "memory", Usage: "memory that the process may use, in MB; 0 for no bound", EnvVars: []string{EnvVar("memory")}},
	}
}

// LoadGateway reads and checks the settings. Its error names every setting
// that is wrong.
func LoadGateway(c *cli.Context) (Gateway, error) {
	r := &reader{c: c}
	s := Gateway{
		ID:                name[models.DaemonID](r, "id"),
		Zone:              name[models.Zone](r, "zone"),
		Listen:            r.addr("listen"),
		Ready:             r.addr("ready"),
		Metrics:           r.addr("metrics"),
		Peer:              r.addr("peer"),
		Store:             r.dialAddr("store"),
		LeaseMin:          r.duration("lease-min", 50*time.Millisecond, time.Minute),
		InstanceHeartbeat: r.duration("instance-heartbeat", 10*time.Millisecond, time.Minute),
		KeysBound:         r.duration("keys-bound", 100*time.Millisecond, time.Hour),
		ConfigBound:       r.duration("config-bound", 100*time.Millisecond, time.Hour),
		StrictKeys:        c.Bool("strict-keys"),
		StaleKeys:         r.duration("stale-keys", time.Second, 24*time.Hour),
		RetryRatio:        c.Float64("retry-ratio"),
		RetrySlack:        c.Float64("retry-slack"),
		RetryWindow:       r.duration("retry-window", time.Second, time.Hour),
		StopGrace:         r.duration("stop-grace", 0, time.Hour),
		CPUCores:          c.Float64("power"),
		MemoryMB:          c.Float64("memory"),
	}
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		r.addError("retry-ratio", errRatio)
	}
	if s.RetrySlack < 0 {
		r.addError("retry-slack", errNegative)
	}
	return s, r.err()
}
