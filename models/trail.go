package models

import "time"

// TrailEntry tells where one request ran and what became of it.
type TrailEntry struct {
	Request   RequestID     `msgpack:"r" json:"request"`
	Workspace WorkspaceName `msgpack:"w" json:"workspace"`
	// Wanted is the model or the plain service that the caller named.
	Wanted    string       `msgpack:"m" json:"wanted"`
	Version   Version      `msgpack:"v" json:"version,omitempty"`
	Group     GroupID      `msgpack:"g" json:"group,omitempty"`
	Instances []InstanceID `msgpack:"i" json:"instances,omitempty"`
	Zone      Zone         `msgpack:"z" json:"zone,omitempty"`
	Domain    Domain       `msgpack:"d" json:"domain,omitempty"`
	Daemon    DaemonID     `msgpack:"n" json:"daemon"`
	Started   time.Time    `msgpack:"t" json:"started"`
	// Took is how long the request has taken, so far if it has no end.
	Took  time.Duration `msgpack:"o" json:"took"`
	Tries int           `msgpack:"x" json:"tries"`
	// End is whole, not-run or may-have-run; empty for a request that was
	// still in flight when the entry was written.
	End string `msgpack:"e" json:"end"`
	// Reason tells why the request did not end whole.
	Reason string `msgpack:"y" json:"reason,omitempty"`
}
