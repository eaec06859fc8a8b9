package entrance

import "golang.org/x/sys/unix"

const (
	// descriptorsPerConnection is how many descriptors there must be for each connection of a
	// caller: its own, and one to an instance.
	descriptorsPerConnection = 2
	// descriptorsPerRequest is how many descriptors there must be for each request in progress: its
	// caller's connection, its instance's, and as many idle ones. What requests leave is for the
	// store, the other daemons, files and the connections of the operators.
	descriptorsPerRequest = 4
	// requestMemoryRatio is the fraction of the allowed memory that requests in progress may take,
	// without their bodies, and requestBytes what one of them takes with both its connections.
	requestMemoryRatio = 0.25
	requestBytes       = 64 << 10
	// connectionMemoryRatio is the fraction of the allowed memory that connections of callers may take beside
	// their requests, and connectionBytes what one of them takes: buffers, and the stacks of two goroutines.
	connectionMemoryRatio = 0.15
	connectionBytes       = 24 << 10
	megabyte              = 1 << 20
)

// MaxRequests returns how many requests a process can hold at once by its descriptors, and by its
// memory unless that is unlimited (0).
func MaxRequests(descriptors uint64, memoryMB float64) int {
	most := int(min(descriptors, 1<<20)) / descriptorsPerRequest
	if memoryMB > 0 {
		most = min(most, int(requestMemoryRatio*memoryMB*megabyte/requestBytes))
	}
	return most
}

// MaxConnections returns how many connections callers may have open, by the process's descriptors, and by its
// memory unless that is unlimited (0).
func MaxConnections(descriptors uint64, memoryMB float64) int {
	most := int(min(descriptors, 1<<20)) / descriptorsPerConnection
	if memoryMB > 0 {
		most = min(most, int(connectionMemoryRatio*memoryMB*megabyte/connectionBytes))
	}
	return most
}

// DescriptorLimit returns how many descriptors the process may have open.
func DescriptorLimit() (uint64, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return limit.Cur, nil
}
