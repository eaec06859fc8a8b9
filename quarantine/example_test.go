package quarantine_test

import (
	"fmt"

	"github.com/lupinkeel/lupinkeel/quarantine"
)

// The same request by two callers has different digests, and so have requests with different
// bodies.
func ExampleRequest_Digest() {
	first := quarantine.Request{Workspace: "a", Method: "POST", Host: "api.example", Target: "/briefs/1", Body: []byte("prompt")}
	other := first
	other.Workspace = "b"
	changed := first
	changed.Body = []byte("prompt.")
	again := first
	fmt.Println(first.Digest() == other.Digest(), first.Digest() == changed.Digest(), first.Digest() == again.Digest())
	// Output: false false true
}
