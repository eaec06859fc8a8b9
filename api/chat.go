package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

const chatPath = "/v1/chat/completions"

// chatRequest is the part of a request body that the daemon reads. The body is forwarded to the
// engine unchanged.
type chatRequest struct {
	Model    models.ModelName  `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, fmt.Errorf("%w: %w", ErrBadBody, err)
	}
	if chat.Model == "" {
		return chat, fmt.Errorf("%w: model is missing", ErrBadBody)
	}
	if len(chat.Messages) == 0 {
		return chat, fmt.Errorf("%w: messages is missing or empty", ErrBadBody)
	}
	return chat, nil
}

// prefixLen is how many bytes at the start of a prompt determine to which prefix cache it is
// routed.
const prefixLen = 256

// prefixHash returns a hash of the start of the first message.
func prefixHash(chat chatRequest) uint64 {
	first := chat.Messages[0]
	h := fnv.New64a()
	h.Write(first[:min(len(first), prefixLen)])
	return h.Sum64()
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	e, ctx, finish := s.beginExchange(w, r, true)
	if e == nil {
		return
	}
	defer finish()
	chat, err := parseChat(e.body)
	if err != nil {
		s.reject(w, err)
		return
	}
	e.entry.ModelOrService = string(chat.Model)
	capacity := s.daemon.View().Table.CapacityFor(e.workspace, chat.Model, e.started)
	if err := s.admission.Acquire(chat.Model, e.workspace, capacity, e.priority); err != nil {
		s.reject(w, err)
		return
	}
	defer s.admission.Release(chat.Model, e.workspace.Name)
	prompt := router.Prompt{Prefix: prefixHash(chat)}
	prompt.SeenBefore = s.prefixes.Seen(prompt.Prefix)
	e.chooseTarget = func(now time.Time, avoid []netip.AddrPort) (router.Target, error) {
		return s.daemon.View().Table.ChooseGroup(e.workspace, chat.Model, prompt, now, s.inFlight.triesAt, avoid)
	}
	e.newCall = func(t router.Target) upstream.Call {
		return upstream.Call{
			Addr: t.Addr, Method: http.MethodPost, Path: chatPath, Header: forwardedHeaders(r.Header), Body: e.body,
			Request: e.req.ID, Group: t.Group.ID, Fence: t.Group.Fence, Priority: e.priority, NewConn: !e.req.Idempotent,
		}
	}
	e.forward = e.forwardBuffered
	if chat.Stream {
		e.forward = e.forwardStream
	}
	var lastTarget netip.AddrPort
	defer func() {
		if e.req.Outcome() == router.OutcomeMayHaveRun && lastTarget.IsValid() {
			s.cancelRun(lastTarget, e.req.ID)
		}
	}()
	forward := e.forward
	e.forward = func(ctx context.Context, t router.Target, resp *upstream.Response) error {
		lastTarget = t.Addr
		return forward(ctx, t, resp)
	}
	e.run(ctx)
}

// cancelRun asks an engine to cancel a run for which nobody waits any more. It runs in the
// background: the caller's response must not wait for an engine that may be unreachable.
func (s *Server) cancelRun(addr netip.AddrPort, id models.RequestID) {
	task.Start(context.Background(), "cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		resp, err := s.upstream.Do(ctx, upstream.Call{Addr: addr, Method: http.MethodDelete, Path: "/v1/runs/" + string(id), Request: id})
		if err != nil {
			s.log.Debug().Err(err).Str("request", string(id)).Msg("cancel-failed")
			return err
		}
		return resp.Body.Close()
	})
}

// forwardStream forwards complete events until the [DONE] event. It sends the caller nothing
// before the first event.
func (e *exchange) forwardStream(ctx context.Context, target router.Target, resp *upstream.Response) error {
	if resp.Status != http.StatusOK {
		return e.forwardBuffered(ctx, target, resp)
	}
	events := upstream.NewEventReader(resp.Body)
	defer events.Close()
	event, err := events.Next()
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
	}
	e.w.Header().Set("Cache-Control", "no-store")
	if err := e.writeHeader(target, resp); err != nil {
		return err
	}
	flush := http.NewResponseController(e.w).Flush
	lastID := 0
	for {
		if _, err := event.WriteTo(e.w); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return err
		}
		if event.IsDone() {
			return nil
		}
		lastID = max(lastID, event.ID)
		if event, err = events.Next(); err == nil {
			continue
		}
		if events, event, err = e.resume(ctx, target, lastID, err); err != nil {
			e.writeErrorEvent(err)
			return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
		}
		defer events.Close()
	}
}

const (
	maxResumeAttempts = 5
	resumeDelay       = 200 * time.Millisecond
)

// resume requests the rest of the same run, after the last event that the caller received. It
// never continues with a different run.
func (e *exchange) resume(ctx context.Context, target router.Target, after int, cause error) (*upstream.EventReader, upstream.Event, error) {
	if after == 0 {
		return nil, upstream.Event{}, cause
	}
	for try := range maxResumeAttempts {
		resp, err := e.s.upstream.Do(ctx, upstream.Call{
			Addr: target.Addr, Method: http.MethodGet, Path: fmt.Sprintf("/v1/runs/%s?after=%d", e.req.ID, after),
			Request: e.req.ID, Group: target.Group.ID, Fence: target.Group.Fence, NewConn: true,
		})
		if err == nil && resp.Status != http.StatusOK {
			resp.Body.Close()
			return nil, upstream.Event{}, errors.Join(cause, fmt.Errorf("resume: status %d", resp.Status))
		}
		if err == nil {
			events := upstream.NewEventReader(resp.Body)
			event, err := events.Next()
			if err == nil {
				e.s.log.Info().Str("request", string(e.req.ID)).Int("after", after).Int("try", try+1).Msg("stream-resumed")
				return events, event, nil
			}
			events.Close()
		}
		select {
		case <-ctx.Done():
			return nil, upstream.Event{}, errors.Join(cause, ctx.Err())
		case <-time.After(resumeDelay):
		}
	}
	return nil, upstream.Event{}, cause
}

// writeErrorEvent sends the caller an error event within the stream. Afterwards the connection is
// aborted.
func (e *exchange) writeErrorEvent(cause error) {
	err := fmt.Errorf("%w: %w", ErrUpstreamFailed, cause)
	data, marshalErr := json.Marshal(errorBody{Error: newErrorDetail(err, router.OutcomeMayHaveRun)})
	if marshalErr != nil {
		return
	}
	// An error here means that the caller has disconnected.
	_, _ = fmt.Fprintf(e.w, "event: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(e.w).Flush()
}
