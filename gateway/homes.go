package gateway

import (
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// zoneFilter reports whether instances of a zone may run a request. A nil filter permits all zones.
type zoneFilter func(models.Zone) bool

func (f zoneFilter) permits(zone models.Zone) bool { return f == nil || f(zone) }

// homeZones returns the filter that follows from the homes of the request's route and workspace.
// Where both have homes, both bind. A zone whose region is not known is in no home.
func (e *exchange) homeZones() zoneFilter {
	route, workspace := e.route.Homes, e.owner.Homes
	if len(route) == 0 && len(workspace) == 0 {
		return nil
	}
	return func(zone models.Zone) bool {
		region, known := e.g.cfg.Regions[zone]
		return known && (len(route) == 0 || slices.Contains(route, region)) && (len(workspace) == 0 || slices.Contains(workspace, region))
	}
}

// permittedInstances returns the instances of the request's plain service that may run it.
func (e *exchange) permittedInstances() []models.UpstreamInstance {
	all := e.g.node.View().Services[e.service]
	if e.zones == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(i models.UpstreamInstance) bool { return !e.zones.permits(i.Zone) })
}
