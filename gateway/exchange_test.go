package gateway

import "fmt"

// A request of a more urgent workspace precedes all requests of a less urgent one, whatever their
// routes.
func Example_rank() {
	fmt.Println(rank(0, 0), rank(0, 2), rank(1, 0), rank(1, 7), rank(9, 0))
	// Output: 0 2 3 5 9
}
