package replica

import "time"

// Silence makes the instance send nothing for some time, while its connections stay open.
func (i *Instance) Silence(d time.Duration) {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.silentUntil = time.Now().Add(d)
}

// awaitVoice waits until the instance is not silent.
func (i *Instance) awaitVoice() {
	for {
		i.pool.mu.Lock()
		left := time.Until(i.silentUntil)
		if i.hung {
			left = 0
		}
		i.pool.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, tickInterval))
	}
}
