// Package engine is the client of model engines: it probes their status, sends them fenced orders
// and defines the headers of requests to them. Everything that depends on the engines' protocol
// is in this folder.
package engine

// Headers between a daemon and an upstream.
const (
	HeaderRequest  = "Lupinkeel-Request"
	HeaderGroup    = "Lupinkeel-Group"
	HeaderFence    = "Lupinkeel-Fence"
	HeaderPriority = "Lupinkeel-Priority"
	// HeaderNotRun is set on an error response of an upstream to prove that the request did not
	// run.
	HeaderNotRun = "Lupinkeel-Not-Run"
)
