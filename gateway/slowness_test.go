package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// slownessEngine has a prediction of 120 ms for an idle group of model m with a base latency of
// 100 ms.
var slownessEngine = &models.EngineProfile{
	Slots: 20, StepTime: 8500 * time.Microsecond, StepsPerSend: 1, PrefillTokensPerSecond: 45900,
	Models: []models.ModelProfile{{Name: "m", TimeFactor: 1}},
}

// newSlownessNode returns newPickNode's groups with keys, and a scheduler that knows the base
// latency and a first event from each group.
func newSlownessNode() (idlePeersNode, *scheduler) {
	node, b := newPickNode(), newScheduler()
	b.observeBase(served(""), 100*time.Millisecond)
	for i := range node.view.Groups[served("")] {
		g := &node.view.Groups[served("")][i]
		g.Key = models.GroupKey{Name: models.GroupID(g.Head.ID), Epoch: 1}
		b.addFirstEvents(g.Key, 1, 1)
	}
	return node, b
}

// addFirstEvents records first events that took a multiple of the predicted time.
func (s *scheduler) addFirstEvents(key models.GroupKey, ratio float64, n int) {
	const predicted = 120 * time.Millisecond
	now := time.Now()
	for range n {
		slowness := s.slownessOf(key)
		slowness.Arrived(slowness.Begin(predicted, now.Add(-time.Duration(ratio*float64(predicted)))), now)
	}
}

func slownessCriteria(target time.Duration) groupCriteria {
	return groupCriteria{head: models.RequestHead{Model: "m"}, latencyTarget: target, routeTarget: target, timeLeft: target}
}

// TestAvoidsSlowGroup checks that a group whose first events are late gets no requests while others
// have capacity, although it has the fewest requests, and that it is forgotten with the group.
func TestAvoidsSlowGroup(t *testing.T) {
	c := qt.New(t)
	node, b := newSlownessNode()
	b.addLoad("b", 9, 0)
	b.addLoad("c", 9, 0)
	pick := func() models.InstanceID {
		g, _, _ := b.pickGroup(node, slownessEngine, slownessCriteria(300*time.Millisecond))
		return g.Head.ID
	}
	c.Assert(pick(), qt.Equals, models.InstanceID("a"))
	key := node.view.Groups[served("")][0].Key
	b.addFirstEvents(key, 2, 1)
	c.Assert(pick(), qt.Equals, models.InstanceID("a"), qt.Commentf("one late first event"))
	b.addFirstEvents(key, 4, 4)
	c.Assert(pick(), qt.Not(qt.Equals), models.InstanceID("a"))

	b.prune(node.view.Instances, node.view.Groups)
	c.Assert(pick(), qt.Not(qt.Equals), models.InstanceID("a"))
	node.view.Groups[served("")][0].Key.Epoch = 2
	c.Assert(pick(), qt.Equals, models.InstanceID("a"), qt.Commentf("another group with the same head"))
	b.prune(node.view.Instances, node.view.Groups)
	_, kept := b.slowness[key]
	c.Assert(kept, qt.IsFalse)
}

// TestPredictionOfAttempt checks which attempts have a prediction, and that only those that arrive,
// or are later than predicted, are observed.
func TestPredictionOfAttempt(t *testing.T) {
	c := qt.New(t)
	node, b := newSlownessNode()
	group := node.view.Groups[served("")][0]
	head := models.RequestHead{Model: "m"}
	p := b.predict(node, slownessEngine, group, head, 300*time.Millisecond)
	c.Assert(p.known(), qt.IsTrue)
	c.Assert(p.firstEvent.Round(time.Millisecond), qt.Equals, 120*time.Millisecond)
	c.Assert(p.spread, qt.Equals, 30*time.Millisecond)
	c.Assert(p.overdueAfter().Round(time.Millisecond), qt.Equals, 180*time.Millisecond)
	before := b.slownessFactor(group.Key, time.Now())
	b.endPrediction(group.Key, p, false)
	c.Assert(b.slownessFactor(group.Key, time.Now()), qt.Equals, before)

	for _, unpredicted := range []prediction{
		b.predict(node, nil, group, head, time.Second),
		b.predict(node, slownessEngine, group, models.RequestHead{Model: "other"}, time.Second),
	} {
		c.Assert(unpredicted.known(), qt.IsFalse)
		b.endPrediction(group.Key, unpredicted, true)
	}
	c.Assert(newScheduler().predict(node, slownessEngine, group, head, time.Second).known(), qt.IsFalse)
}

// TestUnprovenGroups checks that groups which have just formed and groups with cold heads count as of
// unknown speed, and that the groups a daemon finds at its start do not.
func TestUnprovenGroups(t *testing.T) {
	c := qt.New(t)
	node, b := newSlownessNode()
	node.limits = emptyLimits()
	now := time.Now()
	group := node.view.Groups[served("")][0]
	unproven := func(g cluster.Group) bool { return b.candidate(node, g, now).Unproven }
	c.Assert(unproven(group), qt.IsFalse)
	node.limits.SetCold(group.Head, now.Add(time.Second), now)
	c.Assert(unproven(group), qt.IsTrue)
	node.limits.SetCold(group.Head, time.Time{}, now)
	c.Assert(unproven(group), qt.IsFalse)

	// The groups that a daemon sees first are not new, later ones are for a while.
	b.noteGroups(served(""), node.view.Groups[served("")], now.Add(-time.Minute))
	group.Key.Epoch++
	b.noteGroups(served(""), []cluster.Group{group}, now)
	c.Assert(unproven(group), qt.IsTrue)
	c.Assert(b.candidate(node, group, now.Add(newGroupTime)).Unproven, qt.IsFalse)
	b.addFirstEvents(group.Key, 1, 1)
	c.Assert(unproven(group), qt.IsFalse)
	old := node.view.Groups[served("")][1]
	old.Key = models.GroupKey{Name: "other", Epoch: 1}
	b.noteGroups(models.ServedModel{Model: "other"}, []cluster.Group{old}, now)
	c.Assert(unproven(old), qt.IsFalse)
}

// TestOverdueFirstEvent checks when a stream that waits for its first event may be hedged: not
// before the event is later than predicted by more than it varies, and if the group is not stalled
// only while another group would be in time. A fixed part of the latency target hedged streams at
// loaded groups too early and others too late.
func TestOverdueFirstEvent(t *testing.T) {
	c := qt.New(t)
	node, b := newSlownessNode()
	node.view.Routing = &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"engines": {Engine: slownessEngine}}}
	now := time.Now()
	newStream := func(target, waited time.Duration, predicted prediction) (*stream, *streamAttempt) {
		route := models.Route{LatencyTarget: target}
		s := &stream{exchange: &exchange{g: &Gateway{stop: newPlannedStop(), node: node, scheduler: b}, head: models.RequestHead{Model: "m"}, route: route, service: "engines", started: now.Add(-waited)}}
		return s, &streamAttempt{s: s, sentAt: now.Add(-waited), predicted: predicted}
	}
	known := prediction{firstEvent: 200 * time.Millisecond, spread: 40 * time.Millisecond}
	for _, test := range []struct {
		name           string
		target, waited time.Duration
		predicted      prediction
		timeout        time.Duration
		overdue        bool
	}{
		{"not predicted", 400 * time.Millisecond, 390 * time.Millisecond, prediction{}, 300 * time.Millisecond, false},
		{"on time", 400 * time.Millisecond, 270 * time.Millisecond, known, 280 * time.Millisecond, false},
		{"overdue", 400 * time.Millisecond, 290 * time.Millisecond, known, 280 * time.Millisecond, true},
		{"late", 400 * time.Millisecond, 410 * time.Millisecond, known, 280 * time.Millisecond, false},
		{"predicted late", 100 * time.Millisecond, 90 * time.Millisecond, known, 150 * time.Millisecond, false},
	} {
		s, a := newStream(test.target, test.waited, test.predicted)
		c.Check(s.firstEventTimeout(a), qt.Equals, test.timeout, qt.Commentf(test.name))
		c.Check(s.isOverdue(a, now), qt.Equals, test.overdue, qt.Commentf(test.name))
	}
	s, _ := newStream(time.Second, 290*time.Millisecond, known)
	c.Check(s.wouldBeInTime(node.view.Groups[served("")][1]), qt.IsTrue)
	s, _ = newStream(400*time.Millisecond, 290*time.Millisecond, known)
	c.Check(s.wouldBeInTime(node.view.Groups[served("")][1]), qt.IsFalse, qt.Commentf("110 ms are left, and 120 predicted"))
	s, a := newStream(time.Second, 290*time.Millisecond, known)
	a.lastEvent = now
	c.Check(s.isOverdue(a, now), qt.IsFalse, qt.Commentf("its first event has arrived"))
}
