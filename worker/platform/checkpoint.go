package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// beyondEnd is an offset past the end of any stream; a read at it returns where the stream ends.
const beyondEnd = models.Offset(1) << 62

// ReadTail reads the last entries of a stream, at most count.
func (c *Client) ReadTail(ctx context.Context, stream string, count int) ([]types.Entry, error) {
	tail, err := c.Read(ctx, stream, beyondEnd, 0)
	if err != nil {
		return nil, err
	}
	next := tail.First
	if tail.Next > next+models.Offset(count) {
		next = tail.Next - models.Offset(count)
	}
	var entries []types.Entry
	for next < tail.Next {
		response, err := c.Read(ctx, stream, next, 0)
		if errors.Is(err, ErrExpired) {
			next = response.First
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(response.Entries) == 0 {
			return nil, trace.Wrap(fmt.Errorf("%w: the log ended early at %d of %d", ErrRejected, next, tail.Next))
		}
		entries = append(entries, response.Entries...)
		next = entries[len(entries)-1].Offset + 1
	}
	return entries, nil
}
