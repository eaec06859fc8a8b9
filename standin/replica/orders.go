package replica

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// order is an order as daemons send it.
type order struct {
	Op      string              `json:"op"`
	How     string              `json:"how"`
	Group   models.GroupID      `json:"group"`
	Epoch   int64               `json:"epoch"`
	Model   models.ModelName    `json:"Model"`
	Members []models.InstanceID `json:"members"`
	Fence   int64               `json:"fence"`
}

func (i *Instance) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	status := i.carryOut(o, time.Now())
	i.write()
	w.WriteHeader(status)
}

// carryOut does what is ordered, or begins to, and returns the status of the
// answer. The fabric must be locked.
func (i *Instance) carryOut(o order, now time.Time) int {
	key := models.GroupKey{Name: o.Group, Epoch: o.Epoch}
	if o.Fence < i.fence {
		return http.StatusPreconditionFailed
	}
	i.fence = o.Fence
	switch {
	case o.Op == "Stage":
		return i.stage(o.Model, now)
	case o.Op == "join":
		return i.join(o, key, now)
	case i.group.Key != key || i.group.State == models.MemberNone:
		return http.StatusConflict
	case o.Op == "open":
		return i.open(now)
	case o.Op == "close" && i.group.State == models.MemberOpen:
		i.group.State = models.MemberReady
		return http.StatusAccepted
	case o.Op == "close":
		return http.StatusOK
	case o.Op == "leave":
		i.group, i.openAt = models.Membership{}, time.Time{}
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

func (i *Instance) stage(name models.ModelName, now time.Time) int {
	model, known := i.f.profile.model(name)
	if !known {
		return http.StatusConflict
	}
	if slices.Contains(i.staged, name) {
		return http.StatusOK
	}
	i.staging, i.stagedAt = name, now.Add(model.LoadTime)
	return http.StatusAccepted
}

func (i *Instance) open(now time.Time) int {
	switch {
	case i.group.State == models.MemberOpen:
		return http.StatusOK
	case i.group.State != models.MemberReady || i.group.Rank != 0:
		return http.StatusConflict
	}
	i.openAt = now.Add(i.f.profile.FormTime)
	return http.StatusAccepted
}

func (i *Instance) join(o order, key models.GroupKey, now time.Time) int {
	model, known := i.f.profile.model(o.Model)
	rank := slices.Index(o.Members, i.ID)
	switch {
	case !known || rank < 0:
		return http.StatusConflict
	case o.Epoch < i.epoch:
		return http.StatusPreconditionFailed
	case i.group.Key == key && i.group.State != models.MemberNone:
		return http.StatusOK
	}
	i.checkApart(o)
	i.epoch, i.members, i.joining, i.openAt = o.Epoch, o.Members, o.Model, time.Time{}
	i.group = models.Membership{Key: key, Rank: rank, State: models.MemberJoining}
	switch {
	case i.model == o.Model:
		i.readyAt = now.Add(rejoin)
	case slices.Contains(i.staged, o.Model):
		i.readyAt = now.Add(model.WarmLoadTime)
	default:
		i.readyAt = now.Add(model.LoadTime)
	}
	return http.StatusAccepted
}

// checkApart checks that the instance joins no group while the head of its
// last one still serves.
func (i *Instance) checkApart(o order) {
	if i.group.State == models.MemberNone || len(i.members) == 0 {
		return
	}
	head := i.f.instances[i.members[0]]
	if head != nil && !head.dark && head.group.Key == i.group.Key && head.group.State == models.MemberOpen {
		i.f.fail("%s joins %s while the head of %s is open", i.ID, o.Group, i.group.Key.Name)
	}
}
