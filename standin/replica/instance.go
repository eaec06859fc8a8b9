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
	// tickInterval is the interval at which an instance checks for completed steps, such as a load.
	tickInterval = 10 * time.Millisecond
	// entryExpiryHeartbeats is how many missed heartbeats remove an entry from the store.
	entryExpiryHeartbeats = 3
	// rejoinTime is how long an instance takes to join a group of the model that it has loaded.
	rejoinTime = 60 * time.Millisecond
)

// Instance is one simulated engine or plain service. The pool's lock guards all unexported fields.
type Instance struct {
	ID      models.InstanceID
	Service models.ServiceName
	Addr    netip.AddrPort
	Zone    models.Zone
	Domain  models.Domain

	pool      *Pool
	server    *http.Server
	tasks     []task.Task
	cancel    context.CancelFunc
	sequence  int64
	lastWrite time.Time

	limits  limitHistory
	signals responseSignals

	hung             bool
	draining         bool
	storeUnreachable bool
	// silentUntil is until when the instance sends nothing.
	silentUntil time.Time

	fence        int64
	epoch        int64
	group        models.Membership
	members      []models.InstanceID
	model        models.ModelName
	joiningModel models.ModelName
	staged       []models.ModelName
	stagingModel models.ModelName
	// The times at which a pending join, open and staging complete.
	readyAt, openAt, stagedAt time.Time
	// stalledSince is the time since when the group of this head lacks a member.
	stalledSince time.Time
	// coldUntil is until when the instance is cold and bears coldRate requests a second. They are
	// checked from coldCheckedFrom on.
	coldUntil, coldCheckedFrom time.Time
	coldRate                   float64
}

// Add starts an instance. An engine has a domain, a plain service has none.
func (p *Pool) Add(service models.ServiceName, zone models.Zone, domain models.Domain) (*Instance, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{Service: service, Zone: zone, Domain: domain, Addr: l.Addr().(*net.TCPAddr).AddrPort(), pool: p, cancel: cancel}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: time.Minute, ConnContext: withAnswerConn}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.created++
	i.ID = models.InstanceID(fmt.Sprintf("i-%03d", p.created))
	p.instances[i.ID] = i
	// A request that crashes the instance may arrive as soon as it listens.
	i.tasks = []task.Task{
		task.Start(ctx, "serve", func(context.Context) error {
			// Stop closes the server; the error only reports that.
			_ = i.server.Serve(answerListener{l, i})
			return nil
		}),
		task.Start(ctx, "work", i.run),
	}
	i.writeEntry()
	return i, nil
}

// Stop ends the instance at once, as a crash does. Its entry expires later.
func (i *Instance) Stop() error {
	i.pool.mu.Lock()
	i.hung = true
	delete(i.pool.instances, i.ID)
	i.pool.mu.Unlock()
	i.cancel()
	err := i.server.Close()
	lastWrite := i.lastWrite
	time.AfterFunc(time.Until(lastWrite.Add(entryExpiryHeartbeats*i.pool.profile.HeartbeatInterval)), func() { i.pool.store.Put("servers", string(i.ID), nil) })
	return errors.Join(err, task.Wait(i.tasks...))
}

// Hang makes the instance unresponsive: it accepts connections but sends no responses, and no
// longer writes its entry.
func (i *Instance) Hang() {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.hung = true
	i.group = models.Membership{}
	time.AfterFunc(entryExpiryHeartbeats*i.pool.profile.HeartbeatInterval, func() { i.pool.store.Put("servers", string(i.ID), nil) })
}

// Drain makes the instance's entry announce that it is leaving.
func (i *Instance) Drain() {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.draining = true
	i.writeEntry()
}

func (i *Instance) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			i.pool.mu.Lock()
			i.advance(now)
			i.pool.mu.Unlock()
		}
	}
}

// advance completes the pending steps that are due.
func (i *Instance) advance(now time.Time) {
	changed := !i.pool.profile.EntriesOnChange && now.Sub(i.lastWrite) >= i.pool.profile.HeartbeatInterval
	if i.stagingModel != "" && !now.Before(i.stagedAt) {
		i.staged, i.stagingModel, changed = []models.ModelName{i.stagingModel}, "", true
	}
	if i.group.State == models.MemberJoining && !now.Before(i.readyAt) {
		i.group.State, i.model, i.staged, changed = models.MemberReady, i.joiningModel, []models.ModelName{i.joiningModel}, true
		ready := i.pool.everReady[i.group.Key]
		if ready == nil {
			ready = map[models.InstanceID]bool{}
			i.pool.everReady[i.group.Key] = ready
		}
		ready[i.ID] = true
	}
	if i.group.State == models.MemberReady && !i.openAt.IsZero() && !now.Before(i.openAt) {
		i.group.State, i.openAt, changed = models.MemberOpen, time.Time{}, true
		i.checkOpen()
	}
	changed = i.checkStalled(now) || changed
	if changed {
		i.writeEntry()
	}
}

// checkOpen checks that a head opens only with a full group whose members were all ready.
func (i *Instance) checkOpen() {
	model, _ := i.pool.profile.model(i.model)
	if len(i.members) != model.GroupSize {
		i.pool.reportViolation("group %s opens with %d members", i.group.Key.Name, len(i.members))
	}
	for _, id := range i.members {
		if !i.pool.everReady[i.group.Key][id] {
			i.pool.reportViolation("group %s opens although member %s was never ready", i.group.Key.Name, id)
		}
	}
}

// groupComplete reports whether all members of a head's group are up and still in it.
func (i *Instance) groupComplete() bool {
	for _, id := range i.members {
		m := i.pool.instances[id]
		if m == nil || m.hung || m.group.Key != i.group.Key {
			return false
		}
	}
	return true
}

// checkStalled breaks a head's group that has lacked a member for the stall timeout.
func (i *Instance) checkStalled(now time.Time) bool {
	if i.group.State != models.MemberOpen || i.groupComplete() {
		i.stalledSince = time.Time{}
		return false
	}
	if i.stalledSince.IsZero() {
		i.stalledSince = now
	}
	if now.Sub(i.stalledSince) < i.pool.profile.StallTimeout {
		return false
	}
	i.group.State = models.MemberBroken
	return true
}
