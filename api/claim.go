package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// claimWithin bounds how long a request waits for its key to be recorded.
	claimWithin = 3 * time.Second
	// releaseWithin bounds the giving up of a key, for which nobody waits.
	releaseWithin = 10 * time.Second
)

// claim records the request's key on the log before anything is sent. Only
// the request whose claim is the first on the log goes on.
func (e *exchange) claim(ctx context.Context) error {
	if e.key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	holder, err := e.s.daemon.Claim(ctx, e.key, e.req.ID)
	switch {
	case err != nil:
		// If the outcome is unknown the key may stay claimed for nothing: it
		// is to be released, since nothing was sent.
		e.claimed = errors.Is(err, daemon.ErrOutcomeUnknown)
		return fmt.Errorf("%w: %w", ErrNoClaim, err)
	case holder != e.req.ID:
		return errors.Join(ErrKeyInUse, e.req.KeyInUse())
	}
	e.claimed = true
	return nil
}

// release gives a key up in the background, so that the caller may try again
// with it. If that fails the key stays claimed, which is safe.
func (s *Server) release(key string, id models.RequestID) {
	task.Start(context.Background(), "release", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, releaseWithin)
		defer cancel()
		err := s.daemon.Release(ctx, key, id)
		if err != nil {
			s.log.Warn().Err(err).Str("request", string(id)).Msg("release-failed")
		}
		return err
	})
}
