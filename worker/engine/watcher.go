package engine

import (
	"context"
	"net/netip"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/probe"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Watch probes the status of the target engines at each tick until the context ends.
func (c *Client) Watch(
	ctx context.Context, ticks <-chan timer.Tick,
	targets <-chan map[models.InstanceID]netip.AddrPort, out chan<- types.Message,
) error {
	p := probe.Prober[models.InstanceID, netip.AddrPort, types.EngineStatus]{
		Ticks: ticks, Targets: targets, Probe: c.Status,
		Deliver: func(ctx context.Context, r probe.Result[models.InstanceID, netip.AddrPort, types.EngineStatus]) {
			if r.Err != nil {
				types.Send(ctx, out, types.InstanceSilent{Instance: r.Key, SentAt: r.SentAt, Err: r.Err})
				return
			}
			types.Send(ctx, out, types.InstanceSeen{Instance: r.Key, Addr: r.Target, SentAt: r.SentAt, Status: r.Response})
		},
	}
	return p.Run(ctx)
}
