package models

import "time"

// TrailEntry is an entry of the trail, the log of requests: it records where a request ran and
// how it ended.
type TrailEntry struct {
	Request   RequestID     `msgpack:"r" json:"request"`
	Workspace WorkspaceName `msgpack:"w" json:"workspace"`
	// ModelOrService is the model or plain service that the caller requested.
	ModelOrService string       `msgpack:"m" json:"wanted"`
	Version        Version      `msgpack:"v" json:"version,omitempty"`
	Group          GroupID      `msgpack:"g" json:"group,omitempty"`
	Instances      []InstanceID `msgpack:"i" json:"instances,omitempty"`
	Zone           Zone         `msgpack:"z" json:"zone,omitempty"`
	Domain         Domain       `msgpack:"d" json:"domain,omitempty"`
	Daemon         DaemonID     `msgpack:"n" json:"daemon"`
	Started        time.Time    `msgpack:"t" json:"started"`
	// Elapsed is the duration of the request; for a request in flight, until the entry was
	// written.
	Elapsed  time.Duration `msgpack:"o" json:"took"`
	Attempts int           `msgpack:"x" json:"tries"`
	// Outcome is "whole" (the caller got the complete response), "not-run" or "may-have-run"; it is
	// empty if the request was in flight when the entry was written.
	Outcome string `msgpack:"e" json:"end"`
	// Reason is the reason for an Outcome other than "whole".
	Reason string `msgpack:"y" json:"reason,omitempty"`
}
