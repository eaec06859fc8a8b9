package cluster

import "time"

// A daemon that uses a relay reads the store itself if no relay sends it what it needs. All daemons
// may have to at the same moment, so these reads are spread over a time that grows with the number
// of daemons and with what each of them reads: together they stay below a share of the store's rate.

const (
	// fallbackBytesPerSecond is the rate of all these reads together.
	fallbackBytesPerSecond = 20 << 20
	// typicalEntryBytes is the size of an instance's entry in a response of the store.
	typicalEntryBytes = 400
	// typicalConfigBytes is the size of a configuration in a response of the store.
	typicalConfigBytes = 128 << 10
	// instancesPerDaemon is the assumed number of instances while none are known.
	instancesPerDaemon = 3
)

// fallbackSpread returns the time over which all daemons spread a read of so many bytes each.
func (n *Node) fallbackSpread(bytes int) time.Duration {
	return time.Duration(float64(n.View().Topology.Size*bytes) / fallbackBytesPerSecond * float64(time.Second))
}

// fallbackDelay returns how much of that time this daemon waits.
func (n *Node) fallbackDelay(bytes int) time.Duration {
	return time.Duration(n.fallbackDraw * float64(n.fallbackSpread(bytes)))
}

// entriesBytes returns the size of a read of all entries.
func (n *Node) entriesBytes() int {
	v := n.View()
	instances := len(v.Instances)
	if instances == 0 {
		instances = instancesPerDaemon * v.Topology.Size
	}
	return instances * typicalEntryBytes
}
