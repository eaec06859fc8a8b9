package daemon

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLongReasonsFillMemory guards against trail entries that keep whatever an upstream has sent, since errors
// quote it.
func TestLongReasonsFillMemory(t *testing.T) {
	c := qt.New(t)
	d := &Daemon{trail: newTrail()}
	d.RecordTrail(models.TrailEntry{Request: "1", Outcome: "not-run", Reason: "malformed: " + strings.Repeat("ä", 64<<10)})
	entry, found := d.trail.find("1")
	c.Assert(found, qt.IsTrue)
	c.Assert(len(entry.Reason) <= 1<<10, qt.IsTrue, qt.Commentf("%d bytes", len(entry.Reason)))
	c.Assert(entry.Reason, qt.Matches, "malformed: ä+")
}
