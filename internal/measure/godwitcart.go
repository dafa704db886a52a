package measure

import (
	"time"

	"godwitcart/internal/admission"
	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/routing"
	"godwitcart/internal/wire/enginewire"
)

// godwitcartPolicy is the policy godwitcart: a routing table and an admission controller per entry VM.
type godwitcartPolicy struct {
	sim         *simulation
	seed        uint64
	entryVMs    []*entryVM
	targetIndex map[string]int
}

type entryVM struct {
	table      *routing.Table
	controller *admission.Controller
}

func (p *godwitcartPolicy) start(sim *simulation) {
	p.sim = sim
	p.targetIndex = make(map[string]int)
	for i, t := range sim.targets {
		p.targetIndex[t.name] = i
	}
	for i := range sim.deployment.entryVMCount {
		p.entryVMs = append(p.entryVMs, p.newEntryVM(i))
	}
	p.confirmTargets()
}

func (p *godwitcartPolicy) newEntryVM(index int) *entryVM {
	estimator := lengths.NewEstimator(0)
	table := routing.NewTable(routing.Options{
		Zone:         p.sim.entryZone(index),
		Seed:         p.seed + uint64(index),
		Lengths:      estimator,
		EntryVMCount: p.sim.deployment.entryVMCount,
	})
	var priorities []int
	for _, c := range p.sim.deployment.classes {
		priorities = append(priorities, c.priority)
	}
	table.SetPriorities(priorities)
	controller := admission.NewController(admission.Options{
		Lengths:   estimator,
		Now:       p.sim.clock.time,
		AfterFunc: func(wait time.Duration, f func()) { p.sim.clock.after(wait, f) },
	}, table)
	return &entryVM{table: table, controller: controller}
}

// confirmTargets periodically passes the targets to every entry VM; engines that are down are passed as unconfirmed.
func (p *godwitcartPolicy) confirmTargets() {
	now := p.sim.clock.time()
	vmsByService := make([][]membership.VM, len(p.sim.deployment.services))
	for _, t := range p.sim.targets {
		vm := membership.VM{Name: t.name, Role: membership.RoleTarget, Zone: t.zone, State: membership.StateLive, ConfirmedAt: now}
		if t.engine != nil && t.engine.isDown {
			vm.ConfirmedAt = time.Time{}
		}
		vmsByService[t.service] = append(vmsByService[t.service], vm)
	}
	for _, e := range p.entryVMs {
		for s := range vmsByService {
			e.table.SetTargets(p.sim.deployment.services[s].name, vmsByService[s], now)
		}
	}
	p.sim.clock.after(membershipInterval, p.confirmTargets)
}

func (p *godwitcartPolicy) submit(j *job) {
	service := &p.sim.deployment.services[j.service]
	account := &p.sim.workload.accounts[j.account]
	ticket := admission.Ticket{
		Account:      account.name,
		Class:        p.sim.deployment.classes[j.class].name,
		Priority:     j.priority,
		Share:        account.queueWeight,
		Service:      service.name,
		PromptTokens: j.promptTokens,
		PrefixHashes: j.prefixHashes,
		Excluded:     j.excludedTargets,
		Retry:        j.attempts > 0,
	}
	if !service.isPlain() {
		ticket.Variant = policy.Variant{Model: service.model}
	}
	p.entryVMs[j.entryVM].controller.Submit(ticket, func(grant *admission.Grant, err error) {
		if err != nil {
			p.sim.refuse(j)
			return
		}
		j.policyState = grant
		p.sim.send(j, p.targetIndex[grant.Target])
	})
}

func (p *godwitcartPolicy) onProgress(j *job) {
	j.policyState.(*admission.Grant).Progress(j.producedTokens)
}

func (p *godwitcartPolicy) onPreempted(j *job) { j.policyState.(*admission.Grant).Preempted() }

func (p *godwitcartPolicy) onEnded(j *job, outcome routing.Outcome) {
	j.policyState.(*admission.Grant).Release(outcome)
}

func (p *godwitcartPolicy) onReport(target int, report *enginewire.LoadReport, events []enginewire.CacheEvent) {
	t := p.sim.targets[target]
	for _, e := range p.entryVMs {
		e.table.ApplyReport(t.name, *report, p.sim.clock.time())
		e.table.ApplyCacheEvents(t.name, events)
		e.controller.NotifyCapacity(p.sim.deployment.services[t.service].name)
	}
}
