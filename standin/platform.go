package standin

import (
	"net/http"

	"github.com/lupinkeel/lupinkeel/models"
)

// Platform is the stand-in for the platform: log, instance list and weight store behind one
// handler.
type Platform struct {
	Log     *Log
	List    *List
	Weights *Weights
}

// NewPlatform returns a platform without records or instances.
func NewPlatform() *Platform {
	return &Platform{Log: NewLog(), List: NewList(), Weights: NewWeights()}
}

// Handler serves the platform's API, and under /control/ the control of its faults.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.Log.serveAppend)
	mux.HandleFunc("GET /log/{stream}", p.Log.serveRead)
	mux.HandleFunc("POST /control/log", p.Log.serveControl)
	mux.HandleFunc("GET /control/log", p.Log.serveCounts)
	mux.HandleFunc("GET /instances", p.List.serveList)
	mux.HandleFunc("POST /control/instances", p.List.serveControl)
	mux.HandleFunc("GET /weights/{model}/{version}", p.Weights.serveFetch)
	mux.HandleFunc("POST /control/weights", p.Weights.serveControl)
	return mux
}

// ListControl changes the instance list.
type ListControl struct {
	// Lag is the age of the list that readers get.
	Lag     *Duration           `json:"lag,omitempty"`
	Down    *bool               `json:"down,omitempty"`
	Put     []models.Instance   `json:"put,omitempty"`
	Leaving []models.InstanceID `json:"leaving,omitempty"`
	Remove  []models.InstanceID `json:"remove,omitempty"`
}

// WeightsControl changes the weight store's faults and rate.
type WeightsControl struct {
	Down *bool `json:"down,omitempty"`
	// LoadsPerSecond limits how many loads are served a second, over all readers.
	LoadsPerSecond *float64 `json:"loads_per_second,omitempty"`
}
