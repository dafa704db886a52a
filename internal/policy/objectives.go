package policy

import "time"

// ObjectiveRange is the range of the latency objectives that routes set for the generations of a service.
type ObjectiveRange struct{ Tightest, Loosest time.Duration }

// GenerationObjectives returns the ranges of the services with engines; those without an objective are left out.
func (t *RouteTable) GenerationObjectives() map[string]ObjectiveRange {
	ranges := make(map[string]ObjectiveRange)
	for _, routes := range t.routesByHost {
		for _, route := range routes {
			if !route.Generations || route.LatencyObjective <= 0 {
				continue
			}
			for _, destination := range route.Destinations {
				if t.Services[destination.Service].Engine != nil {
					ranges[destination.Service] = ranges[destination.Service].including(route.LatencyObjective)
				}
			}
		}
	}
	return ranges
}

func (r ObjectiveRange) including(objective time.Duration) ObjectiveRange {
	if r.Tightest == 0 || objective < r.Tightest {
		r.Tightest = objective
	}
	r.Loosest = max(r.Loosest, objective)
	return r
}
