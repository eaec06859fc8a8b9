package config

import (
	"net/netip"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/models"
)

// UpstreamStandin holds the common settings of the stand-ins for engines and plain services.
type UpstreamStandin struct {
	Listen   netip.AddrPort
	Platform netip.AddrPort
	// Instance is the entry for the platform's instance list. If its address is not valid, the
	// bound address is used.
	Instance models.Instance
}

// EngineStandin holds the settings of the stand-in for an engine.
type EngineStandin struct {
	UpstreamStandin
	Load          time.Duration
	Prefill       time.Duration
	TokenGap      time.Duration
	Slots         int
	ReportLag     time.Duration
	CachePrefixes int
}

// StandinFlags returns the flags that all stand-ins have in common.
func StandinFlags() []cli.Flag {
	return append([]cli.Flag{stringFlag("listen", "address to listen on", "127.0.0.1:0")}, LogFlags()...)
}

// LoadListen reads and validates the listen address of a stand-in.
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
		stringFlag("advertise", "address to put on the instance list instead of the bound address", ""),
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

// EngineFlags returns the flags that LoadEngine reads.
func EngineFlags() []cli.Flag {
	return append(upstreamFlags(),
		intFlag("accelerators", "accelerators of the instance", 1),
		&cli.BoolFlag{Name: "ignore-fences", Usage: "accept orders and requests with any fence", EnvVars: []string{EnvVar("ignore-fences")}},
		durationFlag("load", "time to load weights after they are fetched", 200*time.Millisecond),
		durationFlag("prefill", "prefill time per 1,000 bytes of uncached prompt", 2*time.Millisecond),
		durationFlag("token-gap", "time between two tokens", 2*time.Millisecond),
		intFlag("slots", "number of requests that run concurrently", 8),
		durationFlag("report-lag", "age of the reported load", time.Second),
		intFlag("cache-prefixes", "number of prompt prefixes that the cache holds", 256),
	)
}

// LoadEngine reads and validates the settings of the stand-in for an engine.
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

// ServiceFlags returns the flags that LoadService reads.
func ServiceFlags() []cli.Flag {
	return append(upstreamFlags(), stringFlag("service", "name of the plain service", ""))
}

// LoadService reads and validates the settings of the stand-in for a plain service.
func LoadService(c *cli.Context) (UpstreamStandin, error) {
	r := &reader{c: c}
	u := loadUpstream(r)
	u.Instance.Kind = models.KindService
	u.Instance.Service = name[models.ServiceName](r, "service")
	return u, r.err()
}
