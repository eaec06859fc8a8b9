package gateway

import "github.com/lupinkeel/lupinkeel/models"

// addDemand adds the request to the demand for its model.
func (e *exchange) addDemand() {
	service, known := e.g.node.View().Routing.Services[e.service]
	if !known || service.Engine == nil {
		return
	}
	profile, known := service.Engine.Model(e.head.Model)
	if !known {
		return
	}
	e.g.scheduler.addDemand(e.head.Model, groupSeconds(service.Engine, profile, e.head))
}

// groupSeconds returns how long a request would occupy a whole group, at half of the group's slots
// in use.
func groupSeconds(engine *models.EngineProfile, model models.ModelProfile, head models.RequestHead) float64 {
	read := float64(head.PromptTokens) / max(1, engine.PrefillTokensPerSecond)
	half := max(1, float64(engine.Slots)/2)
	token := engine.StepTime.Seconds()/half + engine.StepTimePerRequest.Seconds()
	return (read + float64(head.OutputTokens)*token) * model.TimeFactor
}
