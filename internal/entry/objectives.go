package entry

import "godwitcart/internal/policy"

// configurationChanged puts the latency objectives of a configuration in force.
func (e *Entry) configurationChanged(configuration *policy.RouteTable) {
	objectives := configuration.GenerationObjectives()
	e.table.SetObjectives(objectives)
	for service, objective := range objectives {
		e.logger.Info("latency objectives of generations", "service", service, "tightest_ms", objective.Tightest.Milliseconds(),
			"loosest_ms", objective.Loosest.Milliseconds(), "keeps_memory", e.table.ObjectivesCompete(service))
	}
}
