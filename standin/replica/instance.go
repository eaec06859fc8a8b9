package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// step is how often an instance looks whether what it is at is done.
	step = 10 * time.Millisecond
	// lapse is after how many heartbeats an entry goes that is not written.
	lapse = 3
	// rejoin is how long a join takes for the model of the last group.
	rejoin = 60 * time.Millisecond
)

// Instance is one instance. All its fields but the first ones are guarded by
// the fabric.
type Instance struct {
	ID      models.InstanceID
	Service models.ServiceName
	Addr    netip.AddrPort
	Zone    models.Zone
	Domain  models.Domain

	f       *Fabric
	server  *http.Server
	tasks   []task.Task
	cancel  context.CancelFunc
	beats   int64
	written time.Time

	limit limitRecord
	words words

	dark         bool
	draining     bool
	cutFromStore bool

	fence   int64
	epoch   int64
	group   models.Membership
	members []models.InstanceID
	model   models.ModelName
	joining models.ModelName
	staged  []models.ModelName
	staging models.ModelName
	// the times at which what is under way is done
	readyAt, openAt, stagedAt time.Time
	// stillSince is since when a head's group stands still.
	stillSince time.Time
}

// Add starts an instance. An engine has a domain, a plain service none.
func (f *Fabric) Add(service models.ServiceName, zone models.Zone, domain models.Domain) (*Instance, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{Service: service, Zone: zone, Domain: domain, Addr: l.Addr().(*net.TCPAddr).AddrPort(), f: f, cancel: cancel}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	i.ID = models.InstanceID(fmt.Sprintf("i-%03d", f.made))
	f.instances[i.ID] = i
	// A request that ends the instance may come as soon as it listens.
	i.tasks = []task.Task{
		task.Start(ctx, "serve", func(context.Context) error {
			// Stop ends it, with an error that says no more than that.
			_ = i.server.Serve(l)
			return nil
		}),
		task.Start(ctx, "work", i.run),
	}
	i.write()
	return i, nil
}

// Stop ends the instance at once, as a crash does. Its entry lapses later.
func (i *Instance) Stop() error {
	i.f.mu.Lock()
	i.dark = true
	delete(i.f.instances, i.ID)
	i.f.mu.Unlock()
	i.cancel()
	err := i.server.Close()
	written := i.written
	time.AfterFunc(time.Until(written.Add(lapse*i.f.profile.Heartbeat)), func() { i.f.store.Put("servers", string(i.ID), nil) })
	return errors.Join(err, task.Wait(i.tasks...))
}

// GoDark has the instance fall silent: it takes connections and answers
// nothing, and writes nothing.
func (i *Instance) GoDark() {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.dark = true
	i.group = models.Membership{}
	time.AfterFunc(lapse*i.f.profile.Heartbeat, func() { i.f.store.Put("servers", string(i.ID), nil) })
}

// Drain has the instance say that it leaves.
func (i *Instance) Drain() {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.draining = true
	i.write()
}

func (i *Instance) run(ctx context.Context) error {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			i.f.mu.Lock()
			i.progress(now)
			i.f.mu.Unlock()
		}
	}
}

// progress brings to an end what the instance is at.
func (i *Instance) progress(now time.Time) {
	changed := now.Sub(i.written) >= i.f.profile.Heartbeat
	if i.staging != "" && !now.Before(i.stagedAt) {
		i.staged, i.staging, changed = []models.ModelName{i.staging}, "", true
	}
	if i.group.State == models.MemberJoining && !now.Before(i.readyAt) {
		i.group.State, i.model, i.staged, changed = models.MemberReady, i.joining, []models.ModelName{i.joining}, true
		ready := i.f.everReady[i.group.Key]
		if ready == nil {
			ready = map[models.InstanceID]bool{}
			i.f.everReady[i.group.Key] = ready
		}
		ready[i.ID] = true
	}
	if i.group.State == models.MemberReady && !i.openAt.IsZero() && !now.Before(i.openAt) {
		i.group.State, i.openAt, changed = models.MemberOpen, time.Time{}, true
		i.checkWhole()
	}
	changed = i.checkStill(now) || changed
	if changed {
		i.write()
	}
}

// checkWhole checks that a head that opens has a group.
func (i *Instance) checkWhole() {
	model, _ := i.f.profile.model(i.model)
	if len(i.members) != model.GroupSize {
		i.f.fail("group %s opens with %d members", i.group.Key.Name, len(i.members))
	}
	for _, id := range i.members {
		if !i.f.everReady[i.group.Key][id] {
			i.f.fail("group %s opens though %s was never ready", i.group.Key.Name, id)
		}
	}
}

// whole reports whether all members of a head's group are in it.
func (i *Instance) whole() bool {
	for _, id := range i.members {
		m := i.f.instances[id]
		if m == nil || m.dark || m.group.Key != i.group.Key {
			return false
		}
	}
	return true
}

// checkStill breaks a head's group that stands still for too long.
func (i *Instance) checkStill(now time.Time) bool {
	if i.group.State != models.MemberOpen || i.whole() {
		i.stillSince = time.Time{}
		return false
	}
	if i.stillSince.IsZero() {
		i.stillSince = now
	}
	if now.Sub(i.stillSince) < i.f.profile.Stall {
		return false
	}
	i.group.State = models.MemberBroken
	return true
}
