// Package service probes plain services, whose calls the system routes without interpreting them.
package service

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/probe"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Watch checks at each tick whether the target instances accept connections, until the context
// ends. Plain services have no common status call.
func Watch(
	ctx context.Context, dialer dial.Dialer, ticks <-chan timer.Tick,
	targets <-chan map[models.InstanceID]netip.AddrPort, out chan<- types.Message,
) error {
	p := probe.Prober[models.InstanceID, netip.AddrPort, struct{}]{
		Ticks: ticks, Targets: targets, Probe: connect(dialer),
		Deliver: func(ctx context.Context, r probe.Result[models.InstanceID, netip.AddrPort, struct{}]) {
			if r.Err != nil {
				types.Send(ctx, out, types.InstanceSilent{Instance: r.Key, SentAt: r.SentAt, Err: r.Err})
				return
			}
			types.Send(ctx, out, types.ServiceSeen{Instance: r.Key, SentAt: r.SentAt})
		},
	}
	return p.Run(ctx)
}

func connect(dialer dial.Dialer) func(context.Context, models.InstanceID, netip.AddrPort) (struct{}, error) {
	return func(ctx context.Context, _ models.InstanceID, addr netip.AddrPort) (struct{}, error) {
		conn, err := dialer.DialContext(ctx, "tcp", addr.String())
		if err != nil {
			return struct{}{}, trace.Wrap(err)
		}
		return struct{}{}, trace.Wrap(conn.Close())
	}
}
