package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
)

// Headers that callers may set.
const (
	// HeaderPriority is a number; higher numbers go first. The default is 0.
	HeaderPriority = "Lupinkeel-Priority"
	// HeaderTimeout is how long the caller waits, such as "30s".
	HeaderTimeout = "Lupinkeel-Timeout"
	// HeaderIdempotent is true or false: whether the request may safely run twice.
	HeaderIdempotent = "Lupinkeel-Repeatable"
	// HeaderIdempotencyKey identifies a request that must run at most once, regardless of how often
	// and to which daemons it is sent.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// beginExchange does the checks common to all requests. If one fails it sends the error response
// and returns nil. Otherwise the caller must call the returned function at the end.
func (s *Server) beginExchange(w http.ResponseWriter, r *http.Request, idempotent bool) (*exchange, context.Context, func()) {
	id := models.RequestID(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderDaemon, string(s.cfg.ID))
	if err := s.inFlight.begin(); err != nil {
		s.reject(w, err)
		return nil, nil, nil
	}
	e, timeout, err := s.newExchange(w, r, id, idempotent)
	if err != nil {
		s.inFlight.end()
		s.reject(w, err)
		return nil, nil, nil
	}
	if err := s.limits.Acquire(e.workspace, s.workspaceShare(e.workspace)); err != nil {
		s.inFlight.end()
		s.reject(w, err)
		return nil, nil, nil
	}
	s.budget.Deposit()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return e, ctx, func() {
		cancel()
		s.limits.Release(e.workspace.Name)
		s.inFlight.end()
	}
}

// workspaceShare returns this daemon's share of a workspace's concurrency limit; 0 means no
// limit.
func (s *Server) workspaceShare(w models.Workspace) int {
	if w.Concurrent == 0 {
		return 0
	}
	return router.LimitShare(w.Concurrent, s.cfg.ID, s.daemon.View().Serving(time.Now()), string(w.Name))
}

func (s *Server) reject(w http.ResponseWriter, err error) {
	s.stats.rejected.Inc()
	writeError(w, err, router.OutcomeNotRun)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, id models.RequestID, idempotent bool) (*exchange, time.Duration, error) {
	view := s.daemon.View()
	if !view.Current(time.Now()) {
		return nil, 0, ErrNotCurrent
	}
	workspace, err := authenticateWorkspace(view.State, r)
	if err != nil {
		return nil, 0, err
	}
	opts, err := s.parseOptions(r, idempotent)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.MaxBody)))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, 0, fmt.Errorf("%w: allowed are %d bytes", ErrBodyTooLong, tooLong.Limit)
	case err != nil:
		return nil, 0, fmt.Errorf("%w: %w", ErrBadBody, err)
	}
	return &exchange{
		s: s, w: w, r: r, workspace: workspace, body: body, priority: opts.priority, started: time.Now(),
		req: &router.Request{ID: id, Idempotent: opts.idempotent}, keyHash: opts.keyHash(workspace.Name),
		entry: models.TrailEntry{Request: id, Workspace: workspace.Name, Daemon: s.cfg.ID, Started: time.Now().UTC()},
	}, opts.timeout, nil
}

// serveModels lists the models that the workspace may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	view := s.daemon.View()
	workspace, err := authenticateWorkspace(view.State, r)
	if err != nil {
		writeError(w, err, router.OutcomeNone)
		return
	}
	type model struct {
		ID     models.ModelName `json:"id"`
		Object string           `json:"object"`
	}
	out := []model{}
	for name, m := range view.State.Models {
		if workspace.AllowsModel(name, m.Version) {
			out = append(out, model{ID: name, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": out})
}
