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

// decisions is the policy godwitcart: a table and a controller for each entry VM.
type decisions struct {
	r       *run
	seed    uint64
	entries []*entryDecisions
	byName  map[string]int
}

type entryDecisions struct {
	table      *routing.Table
	controller *admission.Controller
}

func (p *decisions) start(r *run) {
	p.r = r
	p.byName = make(map[string]int)
	for i, n := range r.nodes {
		p.byName[n.name] = i
	}
	for i := range r.d.entries {
		p.entries = append(p.entries, p.newEntry(i))
	}
	p.confirm()
}

func (p *decisions) newEntry(index int) *entryDecisions {
	book := lengths.NewEstimator(0)
	table := routing.NewTable(routing.Options{
		Zone:         p.r.entryZone(index),
		Seed:         p.seed + uint64(index),
		Lengths:      book,
		EntryVMCount: p.r.d.entries,
	})
	var priorities []int
	for _, c := range p.r.d.classes {
		priorities = append(priorities, c.priority)
	}
	table.SetPriorities(priorities)
	controller := admission.NewController(admission.Options{
		Lengths:   book,
		Now:       p.r.clock.time,
		AfterFunc: func(wait time.Duration, f func()) { p.r.clock.after(wait, f) },
	}, table)
	return &entryDecisions{table: table, controller: controller}
}

// confirm tells every entry VM which targets live, now and then.
func (p *decisions) confirm() {
	now := p.r.clock.time()
	lists := make([][]membership.VM, len(p.r.d.services))
	for _, n := range p.r.nodes {
		vm := membership.VM{Name: n.name, Role: membership.RoleTarget, Zone: n.zone, State: membership.StateLive, ConfirmedAt: now}
		if n.engine != nil && n.engine.dead {
			vm.ConfirmedAt = time.Time{}
		}
		lists[n.service] = append(lists[n.service], vm)
	}
	for _, e := range p.entries {
		for s := range lists {
			e.table.SetTargets(p.r.d.services[s].name, lists[s], now)
		}
	}
	p.r.clock.after(membershipEvery, p.confirm)
}

func (p *decisions) submit(j *job) {
	service := &p.r.d.services[j.service]
	account := &p.r.work.accounts[j.account]
	ticket := admission.Ticket{
		Account:      account.name,
		Class:        p.r.d.classes[j.class].name,
		Priority:     j.priority,
		Share:        account.share,
		Service:      service.name,
		PromptTokens: j.prompt,
		PrefixHashes: j.hashes,
		Excluded:     j.excluded,
		Retry:        j.tries > 0,
	}
	if !service.plain() {
		ticket.Variant = policy.Variant{Model: service.model}
	}
	p.entries[j.entry].controller.Submit(ticket, func(grant *admission.Grant, err error) {
		if err != nil {
			p.r.refuse(j)
			return
		}
		j.handle = grant
		p.r.send(j, p.byName[grant.Target])
	})
}

func (p *decisions) progressed(j *job) { j.handle.(*admission.Grant).Progress(j.produced) }

func (p *decisions) preempted(j *job) { j.handle.(*admission.Grant).Preempted() }

func (p *decisions) ended(j *job, outcome routing.Outcome) {
	j.handle.(*admission.Grant).Release(outcome)
}

func (p *decisions) reported(target int, report *enginewire.LoadReport, events []enginewire.CacheEvent) {
	n := p.r.nodes[target]
	for _, e := range p.entries {
		e.table.ApplyReport(n.name, *report, p.r.clock.time())
		e.table.ApplyCacheEvents(n.name, events)
		e.controller.NotifyCapacity(p.r.d.services[n.service].name)
	}
}
