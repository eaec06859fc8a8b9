package platform

import (
	"context"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// PollInstances reads the list of instances at each tick until the context ends.
func (c *Client) PollInstances(ctx context.Context, ticks <-chan timer.Tick, out chan<- types.Message) error {
	for {
		instances, err := c.Instances(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			types.Send(ctx, out, types.ListUnavailable{Err: err})
		default:
			types.Send(ctx, out, types.ListRead{Instances: instances})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
	}
}
