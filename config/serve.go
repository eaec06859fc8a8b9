package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Serve holds the settings of one daemon.
type Serve struct {
	ID   models.DaemonID
	Zone models.Zone
	// Listen is where callers come, Admin where operators and probes come,
	// Peer where other daemons come.
	Listen netip.AddrPort
	Admin  netip.AddrPort
	Peer   netip.AddrPort
	// AdvertisePeer is where other daemons reach Peer; the address bound if
	// not valid.
	AdvertisePeer netip.AddrPort
	// Source is where connections to others leave from; the system chooses
	// if it is not valid.
	Source netip.Addr
	// Peers are daemons to ask first, before the roster is known.
	Peers []netip.AddrPort
	Log   netip.AddrPort
	List  netip.AddrPort
	// BootstrapToken is the hash of the token that may change the
	// configuration while no operator is declared.
	BootstrapToken string

	// GateBound is the age of evidence beyond which a group takes no
	// requests.
	GateBound time.Duration
	// CurrentBound is how long a daemon serves without proof that its
	// state is current.
	CurrentBound time.Duration
	// WatchEvery is how often an instance is asked for its status.
	WatchEvery time.Duration
	// ListEvery is how often the platform's list is read.
	ListEvery time.Duration
	// HeartbeatEvery is how often another daemon is asked for its status.
	HeartbeatEvery time.Duration
	// ReplaceAfter is how long a group waits for a missing member before
	// it is given another.
	ReplaceAfter time.Duration
	// TrailEvery is how often the trail of requests is written to the log.
	TrailEvery time.Duration
	// CheckpointEvery is after how many records a checkpoint is written.
	CheckpointEvery int

	// MaxBody is the longest request body, in bytes.
	MaxBody int
	// RequestTimeout bounds a request that names no deadline.
	RequestTimeout time.Duration
	// StopGrace bounds how long a planned stop waits for requests.
	StopGrace time.Duration
}

// Defaults returns the settings that have a value when no flag is given.
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

// ServeFlags are the flags that LoadServe reads.
func ServeFlags() []cli.Flag {
	d := Defaults()
	return []cli.Flag{
		stringFlag("id", "name of this daemon", ""),
		stringFlag("zone", "availability zone of this daemon", ""),
		stringFlag("listen", "address for callers", "127.0.0.1:7700"),
		stringFlag("admin", "address for operators, probes and metrics", "127.0.0.1:7701"),
		stringFlag("peer", "address for other daemons", "127.0.0.1:7702"),
		stringFlag("advertise-peer", "address at which other daemons reach --peer, if another", ""),
		stringFlag("source", "IP address from which connections leave", ""),
		listFlag("peers", "addresses of other daemons to ask first"),
		stringFlag("log", "address of the platform's log", ""),
		stringFlag("list", "address of the platform's instance list", ""),
		stringFlag("bootstrap-token", "SHA-256 hash of the token that may change the configuration while no operator is declared", ""),
		durationFlag("gate-bound", "age of evidence beyond which a group takes no requests", d.GateBound),
		durationFlag("current-bound", "how long to serve without proof that the state is current", d.CurrentBound),
		durationFlag("watch-every", "how often an instance is asked for its status", d.WatchEvery),
		durationFlag("list-every", "how often the instance list is read", d.ListEvery),
		durationFlag("heartbeat-every", "how often another daemon is asked for its status", d.HeartbeatEvery),
		durationFlag("replace-after", "how long a group waits for a missing member", d.ReplaceAfter),
		durationFlag("trail-every", "how often the trail of requests is written to the log", d.TrailEvery),
		intFlag("checkpoint-every", "after how many records a checkpoint is written", d.CheckpointEvery),
		intFlag("max-body", "longest request body, in bytes", d.MaxBody),
		durationFlag("request-timeout", "bound of a request that names no deadline", d.RequestTimeout),
		durationFlag("stop-grace", "how long a planned stop waits for requests in flight", d.StopGrace),
	}
}

// LoadServe reads and checks the settings of a daemon. Its error names every
// setting that is wrong.
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
	}
	if c.String("advertise-peer") != "" {
		s.AdvertisePeer = r.dialAddr("advertise-peer")
	}
	return s, r.err()
}
