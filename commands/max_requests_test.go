package commands

import "fmt"

// A daemon of 4,100 descriptors and 184 MB is bounded by its memory, one without a bound on its
// memory by its descriptors.
func Example_maxRequests() {
	fmt.Println(maxConnections(4100))
	fmt.Println(maxRequests(4100, 184), maxRequests(4100, 0), maxRequests(8192, 536))
	// Output:
	// 2050
	// 736 1025 2048
}
