package engine

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/worker/types"
)

// MaxOrderAge is how long after its decision an order may still be sent. Instances that do not
// check fences depend on this bound; see the design note on orders.
const MaxOrderAge = time.Second

// ErrOrderExpired is returned for an order that was not sent because it was decided too long ago.
var ErrOrderExpired = errors.New("the order is too old to be sent")

// Orderer sends orders sequentially.
type Orderer struct {
	Client *Client
	Orders <-chan types.Dispatch
	Out    chan<- types.Message
}

// Run sends orders until the context ends.
func (o *Orderer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-o.Orders:
			types.Send(ctx, o.Out, types.OrderResult{Dispatch: d, Err: o.send(ctx, d)})
		}
	}
}

func (o *Orderer) send(ctx context.Context, d types.Dispatch) error {
	remaining := MaxOrderAge - time.Since(d.Decided)
	if remaining <= 0 {
		return ErrOrderExpired
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	return o.Client.Send(ctx, d.Addr, d.Order)
}
