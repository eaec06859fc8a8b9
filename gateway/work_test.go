package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestKinds checks that a kind of request counts for its model as long as it is asked
// for now and then.
func TestKinds(t *testing.T) {
	c := qt.New(t)
	b := newBalance()
	b.addWork("m", "long", cluster.Work{Requests: 1})
	b.addWork("m", "short", cluster.Work{Requests: 1})
	b.addWork("m", "short", cluster.Work{Requests: 1})
	b.addWork("n", "other", cluster.Work{Requests: 1})
	c.Assert(b.Kinds(), qt.DeepEquals, map[models.ModelName]int{"m": 2, "n": 1})
	b.asked["m"]["long"] = time.Now().Add(-2 * kindsSpan)
	c.Assert(b.Kinds()["m"], qt.Equals, 1)
}
