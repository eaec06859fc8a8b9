package entrance_test

import (
	"fmt"

	"github.com/lupinkeel/lupinkeel/lib/entrance"
)

// A daemon of 4,100 descriptors and 184 MB is bounded by its memory, one without a bound on its
// memory by its descriptors.
func ExampleMaxRequests() {
	fmt.Println(entrance.MaxConnections(4100, 184), entrance.MaxConnections(4100, 0))
	fmt.Println(entrance.MaxRequests(4100, 184), entrance.MaxRequests(4100, 0), entrance.MaxRequests(8192, 536))
	// Output:
	// 1177 2050
	// 736 1025 2048
}
