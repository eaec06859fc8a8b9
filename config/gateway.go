package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Gateway holds the settings of the gateway command, a daemon on the users' platform.
type Gateway struct {
	ID   models.DaemonID
	Zone models.Zone
	// Regions holds the region of each availability zone.
	Regions RegionMap
	// Listen is the address for callers, Ready for the readiness probe of the load balancer,
	// Metrics for metrics, and Peer for other daemons. Store is the address of the platform's
	// store.
	Listen  netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	Peer    netip.AddrPort
	Store   netip.AddrPort
	// LeaseMin is the shortest lease that the store grants.
	LeaseMin time.Duration
	// InstanceHeartbeat is the interval at which instances write their entries.
	InstanceHeartbeat time.Duration
	// FirstStart is true if all daemons start for the first time.
	FirstStart bool
	// KeysBound is the maximum time after which a revoked API key is rejected, ConfigBound the
	// maximum time after which a new configuration is in force.
	KeysBound   time.Duration
	ConfigBound time.Duration
	// StrictKeys is true if a key must never be accepted later than KeysBound after it was
	// revoked. Otherwise, a daemon without proof that its keys are current accepts the keys it
	// knows for up to StaleKeys.
	StrictKeys bool
	StaleKeys  time.Duration
	// RetryRatio, RetrySlack and RetryWindow set the retry budget of all daemons together: in
	// each window, RetryRatio retries per request, and RetrySlack further ones.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	StopGrace   time.Duration
	// MaxRequests is the number of requests in progress at which connections are refused, if no
	// delay of the process sets a lower one; 0 if memory and descriptors set it.
	MaxRequests int
	// CPUCores is the number of cores, or the fraction of a core, that the process may use.
	// Daemons with more of it come first when the roles in the cluster are assigned.
	CPUCores float64
	// MemoryMB is the memory that the process may use; 0 sets no limit.
	MemoryMB float64
}

// defaultStaleKeys is the longest network partition between regions that is expected now and
// then at the planned size.
const defaultStaleKeys = time.Hour

// keysProofNumerator and keysProofDenominator set the maximum age of the proof that keys are
// current, as a fraction of KeysBound. The remaining time is for requests that were accepted
// just before the proof became too old.
const (
	keysProofNumerator   = 8
	keysProofDenominator = 10
)

// MaxKeysProofAge returns the maximum age of the proof that keys are current, that is, that the
// daemon knows of all revocations. With an older proof, no key is accepted.
func (s Gateway) MaxKeysProofAge() time.Duration {
	if s.StrictKeys {
		return s.KeysBound * keysProofNumerator / keysProofDenominator
	}
	return s.StaleKeys
}

// GatewayFlags returns the flags that LoadGateway reads.
func GatewayFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("id", "name of this daemon", ""),
		stringFlag("zone", "availability zone of this daemon", ""),
		stringFlag("regions", "regions of the availability zones, as ZONE:REGION separated by commas", ""),
		stringFlag("listen", "address for callers", "127.0.0.1:7700"),
		stringFlag("ready", "address for the readiness probe of the load balancer", "127.0.0.1:7701"),
		stringFlag("metrics", "address for metrics", "127.0.0.1:7703"),
		stringFlag("peer", "address for other daemons", "127.0.0.1:7702"),
		stringFlag("store", "address of the platform's store", ""),
		durationFlag("lease-min", "shortest lease that the store grants", time.Second),
		durationFlag("instance-heartbeat", "interval at which instances write their entries", 1200*time.Millisecond),
		&cli.BoolFlag{Name: "first-start", Usage: "all daemons start for the first time, so that none is in the store's roster yet, and none has used up retries", EnvVars: []string{EnvVar("first-start")}},
		durationFlag("keys-bound", "maximum time after which a revoked API key is refused", 5*time.Second),
		durationFlag("config-bound", "maximum time after which a new configuration is in force", 2*time.Second),
		&cli.BoolFlag{Name: "strict-keys", Usage: "refuse all API keys while there is no proof that they are current", Value: true, EnvVars: []string{EnvVar("strict-keys")}},
		durationFlag("stale-keys", "without strict-keys, how long known API keys are accepted without this proof", defaultStaleKeys),
		&cli.Float64Flag{Name: "retry-ratio", Usage: "retries per request, over all daemons", Value: 0.2, EnvVars: []string{EnvVar("retry-ratio")}},
		&cli.Float64Flag{Name: "retry-slack", Usage: "further retries in each window, over all daemons", Value: 100, EnvVars: []string{EnvVar("retry-slack")}},
		durationFlag("retry-window", "window of the retry budget", 10*time.Second),
		durationFlag("stop-grace", "maximum duration of a graceful stop", 8*time.Second),
		maxRequestsFlag(),
		&cli.Float64Flag{Name: "power", Usage: "number of cores, or fraction of a core, that the process may use", Value: 1, EnvVars: []string{EnvVar("power")}},
		&cli.Float64Flag{Name: "memory", Usage: "memory that the process may use, in MB; 0 for no limit", EnvVars: []string{EnvVar("memory")}},
	}
}

// LoadGateway reads and validates the settings. Its error lists all invalid settings.
func LoadGateway(c *cli.Context) (Gateway, error) {
	r := &reader{c: c}
	s := Gateway{
		ID:                name[models.DaemonID](r, "id"),
		Zone:              name[models.Zone](r, "zone"),
		Regions:           r.regions("regions"),
		Listen:            r.addr("listen"),
		Ready:             r.addr("ready"),
		Metrics:           r.addr("metrics"),
		Peer:              r.addr("peer"),
		Store:             r.dialAddr("store"),
		LeaseMin:          r.duration("lease-min", 50*time.Millisecond, time.Minute),
		InstanceHeartbeat: r.duration("instance-heartbeat", 10*time.Millisecond, time.Minute),
		FirstStart:        c.Bool("first-start"),
		KeysBound:         r.duration("keys-bound", 100*time.Millisecond, time.Hour),
		ConfigBound:       r.duration("config-bound", 100*time.Millisecond, time.Hour),
		StrictKeys:        c.Bool("strict-keys"),
		StaleKeys:         r.duration("stale-keys", time.Second, 24*time.Hour),
		RetryRatio:        c.Float64("retry-ratio"),
		RetrySlack:        c.Float64("retry-slack"),
		RetryWindow:       r.duration("retry-window", time.Second, time.Hour),
		StopGrace:         r.duration("stop-grace", 0, time.Hour),
		MaxRequests:       r.count("max-requests", 0, maxMaxRequests),
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
