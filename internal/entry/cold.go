package entry

import (
	"maps"
	"slices"
	"time"

	"godwitcart/internal/fleet"
	"godwitcart/internal/roster"
	"godwitcart/internal/settings"
	"godwitcart/internal/targetlimit"
)

// newColdTargets returns the limits of cold targets by the configuration in force.
func (e *Entry) newColdTargets(s *settings.Deployment) *targetlimit.ColdTargets {
	return targetlimit.NewColdTargets(targetlimit.ColdOptions{
		Logger: e.logger, Bound: targetlimit.ColdBound{Overage: s.Bounds.ColdOverage, Slack: s.Bounds.ColdSlack},
		Rule: e.coldRule, TurnComes: e.retryWaiting,
	})
}

// coldRule returns what the service declares about cold targets.
func (e *Entry) coldRule(service string) targetlimit.ColdRule {
	table := e.poller.Current()
	if table == nil {
		return targetlimit.ColdRule{}
	}
	declared := table.Services[service]
	return targetlimit.ColdRule{PerSecond: declared.ColdPerSecond, Start: declared.ColdStart}
}

// recordCold records that an entry of the list states that its target is cold, and reports whether its service limits the
// requests to it.
func (e *Entry) recordCold(target roster.Target) bool {
	e.cold.Stated(target, target.WarmupRemaining, time.Now())
	return e.coldRule(target.Service).PerSecond > 0
}

// setMembers replaces the other entry VMs of the directory.
func (e *Entry) setMembers(members map[string]fleet.Member) {
	e.fleet.SetMembers(members)
	e.cold.SetVMs(e.settings.Load().VM.Name, append(slices.Collect(maps.Keys(members)), e.settings.Load().VM.Name))
}
