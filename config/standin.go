package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// Upstream holds what the stand-ins for engines and plain services share.
type UpstreamStandin struct {
	Listen   netip.AddrPort
	Platform netip.AddrPort
	// Instance is what the platform's list shows. Its address is that of
	// Listen unless another was given.
	Instance models.Instance
}

// Engine holds the settings of an engine stand-in.
type EngineStandin struct {
	UpstreamStandin
	Load          time.Duration
	Prefill       time.Duration
	TokenGap      time.Duration
	Slots         int
	ReportLag     time.Duration
	CachePrefixes int
}

// StandinFlags are the flags that every stand-in has.
func StandinFlags() []cli.Flag {
	return append([]cli.Flag{stringFlag("listen", "address to listen on", "127.0.0.1:0")}, LogFlags()...)
}

// LoadListen reads and checks the address of a stand-in.
func LoadListen(c *cli.Context) (netip.AddrPort, error) {
	r := &reader{c: c}
	return r.addr("listen"), r.err()
}

func upstreamFlags() []cli.Flag {
	return append(StandinFlags(),
		stringFlag("id", "name of the instance", ""),
		stringFlag("zone", "availability zone", ""),
		stringFlag("domain", "fabric domain", ""),
		stringFlag("platform", "address of the platform stand-in", ""),
		stringFlag("advertise", "address to put on the list instead of --listen", ""),
	)
}

func loadUpstream(r *reader) UpstreamStandin {
	u := UpstreamStandin{
		Listen:   r.addr("listen"),
		Platform: r.dialAddr("platform"),
		Instance: models.Instance{
			ID:     name[models.InstanceID](r, "id"),
			Zone:   name[models.Zone](r, "zone"),
			Domain: name[models.Domain](r, "domain"),
		},
	}
	if r.c.String("advertise") != "" {
		u.Instance.Addr = r.dialAddr("advertise")
	}
	return u
}

// EngineFlags are the flags that LoadEngine reads.
func EngineFlags() []cli.Flag {
	return append(upstreamFlags(),
		intFlag("accelerators", "accelerators of the instance", 1),
		&cli.BoolFlag{Name: "ignore-fences", Usage: "obey orders and requests with any fence", EnvVars: []string{EnvVar("ignore-fences")}},
		durationFlag("load", "time to load weights once they are fetched", 200*time.Millisecond),
		durationFlag("prefill", "time that 1,000 bytes of prompt take", 2*time.Millisecond),
		durationFlag("token-gap", "time between two tokens", 2*time.Millisecond),
		intFlag("slots", "requests that run at once", 8),
		durationFlag("report-lag", "age of the reported load", time.Second),
		intFlag("cache-prefixes", "prompt prefixes that the cache holds", 256),
	)
}

// LoadEngine reads and checks the settings of an engine stand-in.
func LoadEngine(c *cli.Context) (EngineStandin, error) {
	r := &reader{c: c}
	e := EngineStandin{
		UpstreamStandin: loadUpstream(r),
		Load:            r.duration("load", 0, time.Hour),
		Prefill:         r.duration("prefill", 0, time.Minute),
		TokenGap:        r.duration("token-gap", 0, time.Minute),
		Slots:           r.count("slots", 1, 10000),
		ReportLag:       r.duration("report-lag", 0, time.Hour),
		CachePrefixes:   r.count("cache-prefixes", 0, 1_000_000),
	}
	e.Instance.Kind = models.KindEngine
	e.Instance.Accelerators = r.count("accelerators", 1, 1024)
	e.Instance.ChecksFences = !c.Bool("ignore-fences")
	return e, r.err()
}

// ServiceFlags are the flags that LoadService reads.
func ServiceFlags() []cli.Flag {
	return append(upstreamFlags(), stringFlag("service", "name of the plain service", ""))
}

// LoadService reads and checks the settings of a plain service stand-in.
func LoadService(c *cli.Context) (UpstreamStandin, error) {
	r := &reader{c: c}
	u := loadUpstream(r)
	u.Instance.Kind = models.KindService
	u.Instance.Service = name[models.ServiceName](r, "service")
	return u, r.err()
}
