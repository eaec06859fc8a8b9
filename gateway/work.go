package gateway

import (
	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// addWork counts what the request asks of its model.
func (e *exchange) addWork() {
	service, known := e.g.node.View().Routing.Services[e.service]
	if !known || service.Engine == nil {
		return
	}
	profile, known := service.Engine.Model(e.head.Model)
	if !known {
		return
	}
	adds, steps := groupSeconds(service.Engine, profile, e.head)
	e.g.balance.addWork(e.head.Model, e.route.Name, cluster.Work{
		Seconds: float32(adds + steps), Added: float32(adds), Requests: 1, Tokens: float32(e.head.PromptTokens), AimSeconds: float32(e.route.Aim.Seconds()),
	})
}

// groupSeconds is how long a request occupies a whole group that is half full: by what
// it adds to the group's work, and by its part of the steps that all there share.
func groupSeconds(engine *models.EngineProfile, model models.ModelProfile, head models.RequestHead) (adds, steps float64) {
	read := float64(head.PromptTokens) / max(1, engine.ReadPerSecond)
	half := max(1, float64(engine.Slots)/2)
	tokens := float64(head.AnswerTokens)
	return (read + tokens*engine.PerRequest.Seconds()) * model.Pace, tokens * engine.Step.Seconds() / half * model.Pace
}
