package standin

import (
	"io"
	"net/http"
	"sync"

	"github.com/lupinkeel/lupinkeel/worker/engine"
)

// Service is a plain service. Its calls have side effects, so a call must not be retried unless it
// is known not to have run.
type Service struct {
	Name string

	mu   sync.Mutex
	runs map[string]int
}

// ServiceResponse is the response to any call.
type ServiceResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Body    string `json:"body"`
}

// NewService returns a service with the given name.
func NewService(name string) *Service {
	return &Service{Name: name, runs: map[string]int{}}
}

// Handler serves any call, and under /control/runs how often each request id was run.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/runs", s.serveRuns)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(engine.HeaderNotRun, "true")
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	id := r.Header.Get(engine.HeaderRequest)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	w.Header().Set(engine.HeaderRequest, id)
	writeJSON(w, http.StatusOK, ServiceResponse{Service: s.Name, Path: r.URL.Path, Request: id, Body: string(body)})
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.runs)
}
