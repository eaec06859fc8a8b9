package router

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSuspects(t *testing.T) {
	c := qt.New(t)
	var s Suspects
	now := time.Unix(1000, 0)
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	c.Assert(s.List(now), qt.HasLen, 0)

	s.Add(a, now)
	s.Add(b, now)
	c.Assert(s.List(now), qt.HasLen, 2)

	s.Clear(a)
	c.Assert(slices.Equal(s.List(now), []netip.AddrPort{b}), qt.IsTrue, qt.Commentf("an upstream that answered is not avoided"))
	c.Assert(s.List(now.Add(suspectTTL)), qt.HasLen, 0, qt.Commentf("an upstream is used again after suspectTTL"))
}
