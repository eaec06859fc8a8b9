package platform

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/worker/types"
)

const retryAppend = 100 * time.Millisecond

// Appender appends records and tries again until the append's time is up. A
// record that was tried more than once may stand on the log more than once;
// the fold knows it by its id.
type Appender struct {
	Client  *Client
	Appends <-chan types.Append
	Out     chan<- types.Message
}

// Run appends until the context ends.
func (a *Appender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case order := <-a.Appends:
			types.Send(ctx, a.Out, a.append(ctx, order))
		}
	}
}

// ErrTooLate is returned for a record whose time was up before it was sent.
var ErrTooLate = errors.New("the record's time was up")

func (a *Appender) append(ctx context.Context, order types.Append) types.AppendEnded {
	res := types.AppendEnded{Append: order, Err: ErrTooLate}
	for time.Now().Before(order.Until) && ctx.Err() == nil {
		offset, err := a.Client.Append(ctx, order.Stream, order.Data)
		if err == nil {
			return types.AppendEnded{Append: order, Offset: offset}
		}
		res.Err = err
		res.Ambiguous = res.Ambiguous || errors.Is(err, ErrUnknown)
		pause(ctx, retryAppend)
	}
	return res
}
