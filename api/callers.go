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
	// HeaderPriority is a number; higher goes first. 0 if not set.
	HeaderPriority = "Lupinkeel-Priority"
	// HeaderTimeout is how long the caller waits, as in "30s".
	HeaderTimeout = "Lupinkeel-Timeout"
	// HeaderRepeatable is true or false: whether running the request twice
	// does no harm.
	HeaderRepeatable = "Lupinkeel-Repeatable"
	// HeaderKey names a request that must run at most once, whichever
	// daemon it is sent to and however often.
	HeaderKey = "Idempotency-Key"
)

// begin checks what every request has in common. It returns nil after it
// has answered a request that can't go on. The caller of begin must call
// done.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, repeatable bool) (*exchange, context.Context, func()) {
	id := models.RequestID(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderDaemon, string(s.cfg.ID))
	if err := s.flights.begin(); err != nil {
		s.refuse(w, err)
		return nil, nil, nil
	}
	e, timeout, err := s.newExchange(w, r, id, repeatable)
	if err != nil {
		s.flights.end()
		s.refuse(w, err)
		return nil, nil, nil
	}
	if err := s.limits.Acquire(e.workspace, s.allotment(e.workspace)); err != nil {
		s.flights.end()
		s.refuse(w, err)
		return nil, nil, nil
	}
	s.budget.Deposit()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return e, ctx, func() {
		cancel()
		s.limits.Release(e.workspace.Name)
		s.flights.end()
	}
}

// allotment is this daemon's part of a workspace's limit.
func (s *Server) allotment(w models.Workspace) int {
	if w.Concurrent == 0 {
		return 0
	}
	return router.LimitShare(w.Concurrent, s.cfg.ID, s.daemon.View().Serving(time.Now()), string(w.Name))
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.stats.refused.Inc()
	writeProblem(w, err, router.OutcomeNotRun)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, id models.RequestID, repeatable bool) (*exchange, time.Duration, error) {
	view := s.daemon.View()
	if !view.Current(time.Now()) {
		return nil, 0, ErrNotCurrent
	}
	workspace, err := workspaceOf(view.State, r)
	if err != nil {
		return nil, 0, err
	}
	settings, err := s.readSettings(r, repeatable)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.MaxBody)))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, 0, fmt.Errorf("%w: allowed are %d bytes", ErrBodyLength, tooLong.Limit)
	case err != nil:
		return nil, 0, fmt.Errorf("%w: %w", ErrBody, err)
	}
	return &exchange{
		s: s, w: w, r: r, workspace: workspace, body: body, priority: settings.priority, started: time.Now(),
		req: &router.Request{ID: id, Idempotent: settings.repeatable}, key: settings.keyIn(workspace.Name),
		entry: models.TrailEntry{Request: id, Workspace: workspace.Name, Daemon: s.cfg.ID, Started: time.Now().UTC()},
	}, settings.timeout, nil
}

// serveModels lists the models that the workspace may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	view := s.daemon.View()
	workspace, err := workspaceOf(view.State, r)
	if err != nil {
		writeProblem(w, err, router.OutcomeNone)
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
