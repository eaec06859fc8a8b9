package commands

import "fmt"

func Example_gcPercent() {
	fmt.Println(gcPercent(63), gcPercent(766))
	// Output: 100 200
}
