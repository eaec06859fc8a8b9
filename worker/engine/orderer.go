package engine

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/worker/types"
)

// OrderBound is how long after it was decided an order may still be sent.
// An instance that does not check fences relies on it: see the design note
// on orders.
const MaxOrderAge = time.Second

// ErrOrderTooLate is returned for an order that was not sent because its
// decision is too old.
var ErrOrderExpired = errors.New("the order is too old to be sent")

// Orderer sends orders, one after another.
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
