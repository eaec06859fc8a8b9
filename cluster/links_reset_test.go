package cluster

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestResetQueueHangsDaemon guards against a daemon that hangs with the lock of its links: the link to
// an earlier address takes the last frame while the link to the new one waits for it.
func TestResetQueueHangsDaemon(t *testing.T) {
	c := qt.New(t)
	l := newLinks(nil)
	peer := &peerLink{frames: make(chan sharedFrame, linkQueueLen)}
	l.peers["d-2"] = peer
	stop := make(chan struct{})
	var earlier sync.WaitGroup
	earlier.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-peer.frames:
			}
		}
	})
	reset := make(chan struct{})
	go func() {
		defer close(reset)
		for range 200_000 {
			l.sendTo("d-2", sharedFrame{})
			l.resetQueue(peer)
		}
	}()
	select {
	case <-reset:
	case <-time.After(10 * time.Second):
		c.Fatal("resetQueue waits for a frame under the lock")
	}
	close(stop)
	earlier.Wait()
}
