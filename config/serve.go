package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Serve holds the settings of the serve command, a daemon.
type Serve struct {
	ID   models.DaemonID
	Zone models.Zone
	// Listen is the address for callers, Admin for operators, probes and metrics, and Peer for
	// other daemons.
	Listen netip.AddrPort
	Admin  netip.AddrPort
	Peer   netip.AddrPort
	// AdvertisePeer is the address at which other daemons reach Peer. If it is not valid, the
	// bound address is used.
	AdvertisePeer netip.AddrPort
	// Source is the source address of outgoing connections. If it is not valid, the operating
	// system chooses one.
	Source netip.Addr
	// Peers are the daemons to contact first, before the roster is known.
	Peers []netip.AddrPort
	// Log and List are the addresses of the platform's log and instance list.
	Log  netip.AddrPort
	List netip.AddrPort
	// BootstrapToken is the SHA-256 hash of the token that may change the configuration while no
	// operator is declared.
	BootstrapToken string

	// GateBound is the maximum age of the evidence that a group can serve. With older evidence,
	// the group gets no requests.
	GateBound time.Duration
	// CurrentBound is the maximum time that a daemon serves without proof that its state is
	// current.
	CurrentBound time.Duration
	// WatchEvery is the interval at which an instance is polled for its status.
	WatchEvery time.Duration
	// ListEvery is the interval at which the platform's instance list is read.
	ListEvery time.Duration
	// HeartbeatEvery is the interval at which another daemon is polled for its status.
	HeartbeatEvery time.Duration
	// ReplaceAfter is how long a group waits for a missing member before the member is replaced.
	ReplaceAfter time.Duration
	// TrailEvery is the interval at which the trail of requests is written to the log.
	TrailEvery time.Duration
	// CheckpointEvery is the number of records after which a checkpoint is written.
	CheckpointEvery int

	// MaxBody is the maximum length of a request body, in bytes.
	MaxBody int
	// RequestTimeout is the timeout of a request without a deadline.
	RequestTimeout time.Duration
	// StopGrace is the maximum time that a graceful stop waits for requests in flight.
	StopGrace time.Duration
	// MaxRequests is the number of requests in progress at which connections are refused, if no
	// delay of the process sets a lower one; 0 if memory and descriptors set it.
	MaxRequests int
}

// Defaults returns the default values of all settings except names, addresses and tokens.
func Defaults() Serve {
	return Serve{
		GateBound:       2 * time.Second,
		CurrentBound:    5 * time.Second,
		WatchEvery:      500 * time.Millisecond,
		ListEvery:       time.Second,
		HeartbeatEvery:  250 * time.Millisecond,
		ReplaceAfter:    time.Second,
		TrailEvery:      2 * time.Second,
		CheckpointEvery: 1000,
		MaxBody:         4 << 20,
		RequestTimeout:  2 * time.Minute,
		StopGrace:       5 * time.Minute,
	}
}

// ServeFlags returns the flags that LoadServe reads.
func ServeFlags() []cli.Flag {
	d := Defaults()
	return []cli.Flag{
		stringFlag("id", "name of this daemon", ""),
		stringFlag("zone", "availability zone of this daemon", ""),
		stringFlag("listen", "address for callers", "127.0.0.1:7700"),
		stringFlag("admin", "address for operators, probes and metrics", "127.0.0.1:7701"),
		stringFlag("peer", "address for other daemons", "127.0.0.1:7702"),
		stringFlag("advertise-peer", "address at which other daemons reach --peer, if it differs", ""),
		stringFlag("source", "source IP address of outgoing connections", ""),
		listFlag("peers", "addresses of other daemons to contact first"),
		stringFlag("log", "address of the platform's log", ""),
		stringFlag("list", "address of the platform's instance list", ""),
		stringFlag("bootstrap-token", "SHA-256 hash of the token that may change the configuration while no operator is declared", ""),
		durationFlag("gate-bound", "maximum age of the evidence that a group can serve; with older evidence it gets no requests", d.GateBound),
		durationFlag("current-bound", "maximum time to serve without proof that the state is current", d.CurrentBound),
		durationFlag("watch-every", "interval at which an instance is polled for its status", d.WatchEvery),
		durationFlag("list-every", "interval at which the instance list is read", d.ListEvery),
		durationFlag("heartbeat-every", "interval at which another daemon is polled for its status", d.HeartbeatEvery),
		durationFlag("replace-after", "how long a group waits for a missing member before it is replaced", d.ReplaceAfter),
		durationFlag("trail-every", "interval at which the trail of requests is written to the log", d.TrailEvery),
		intFlag("checkpoint-every", "number of records after which a checkpoint is written", d.CheckpointEvery),
		intFlag("max-body", "maximum length of a request body, in bytes", d.MaxBody),
		durationFlag("request-timeout", "timeout of a request without a deadline", d.RequestTimeout),
		durationFlag("stop-grace", "maximum time that a graceful stop waits for requests in flight", d.StopGrace),
		maxRequestsFlag(),
	}
}

const maxMaxRequests = 1_000_000

func maxRequestsFlag() cli.Flag {
	return intFlag("max-requests", "number of requests in progress at which connections are refused even without a delay; 0 for what memory and descriptors allow", 0)
}

// LoadServe reads and validates the settings of a daemon. Its error lists all invalid settings.
func LoadServe(c *cli.Context) (Serve, error) {
	r := &reader{c: c}
	s := Serve{
		ID:              name[models.DaemonID](r, "id"),
		Zone:            name[models.Zone](r, "zone"),
		Listen:          r.addr("listen"),
		Admin:           r.addr("admin"),
		Peer:            r.addr("peer"),
		Source:          r.sourceIP("source"),
		Peers:           r.dialAddrs("peers"),
		Log:             r.dialAddr("log"),
		List:            r.dialAddr("list"),
		BootstrapToken:  r.tokenHash("bootstrap-token"),
		GateBound:       r.duration("gate-bound", 100*time.Millisecond, time.Minute),
		CurrentBound:    r.duration("current-bound", 500*time.Millisecond, time.Minute),
		WatchEvery:      r.duration("watch-every", 50*time.Millisecond, time.Minute),
		ListEvery:       r.duration("list-every", 100*time.Millisecond, time.Minute),
		HeartbeatEvery:  r.duration("heartbeat-every", 50*time.Millisecond, time.Minute),
		ReplaceAfter:    r.duration("replace-after", 0, time.Hour),
		TrailEvery:      r.duration("trail-every", 100*time.Millisecond, time.Minute),
		CheckpointEvery: r.count("checkpoint-every", 10, 1_000_000),
		MaxBody:         r.count("max-body", 1<<10, 64<<20),
		RequestTimeout:  r.duration("request-timeout", time.Second, time.Hour),
		StopGrace:       r.duration("stop-grace", 0, time.Hour),
		MaxRequests:     r.count("max-requests", 0, maxMaxRequests),
	}
	if c.String("advertise-peer") != "" {
		s.AdvertisePeer = r.dialAddr("advertise-peer")
	}
	return s, r.err()
}
