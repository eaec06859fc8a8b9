// Package engine speaks to model engines: it watches their status, sends
// them fenced orders and carries requests to them. Everything that depends
// on the engines' own protocol is in this folder.
package engine

// Headers between a daemon and an upstream.
const (
	HeaderRequest  = "Lupinkeel-Request"
	HeaderGroup    = "Lupinkeel-Group"
	HeaderFence    = "Lupinkeel-Fence"
	HeaderPriority = "Lupinkeel-Priority"
	// HeaderNotRun is set on an upstream's refusal when it proves that the
	// request was not run.
	HeaderNotRun = "Lupinkeel-Not-Run"
)
