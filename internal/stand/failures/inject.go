package failures

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/stand/rig"
)

// reclaimNotice is the time between the reclaim notice to a target and its kill.
const reclaimNotice = 2 * time.Second

// controlTimeout bounds one control request to a stand-in.
const controlTimeout = 5 * time.Second

// injector executes actions on a fleet and records the faults that it injected.
type injector struct {
	// plannedOnly disables all faults except planned stops.
	plannedOnly bool

	fleet     *fleet
	generator *faultGenerator

	mu     sync.Mutex
	faults []Fault
	err    error
}

// execute injects one fault and lifts it after its duration. It skips the action while another fault affects the
// same program.
func (i *injector) execute(ctx context.Context, a action) {
	lock := i.faultLock(a)
	if lock != nil {
		if !lock.TryLock() {
			return
		}
		defer lock.Unlock()
	}
	fault := Fault{Kind: a.kind, Subject: a.subject, From: time.Now()}
	err := i.apply(ctx, a)
	fault.To = time.Now()
	log.Debug("fault ended", "what", fault)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, fault)
	i.err = errors.CombineErrors(i.err, errors.Wrap(err, fault.String()))
}

// faultLock returns the lock of the program that the action affects, or nil for actions on links.
func (i *injector) faultLock(a action) *sync.Mutex {
	if a.subject == platformName {
		return &i.fleet.platform.FaultMu
	}
	for _, m := range i.fleet.members() {
		if m.Name == a.subject {
			return &m.FaultMu
		}
	}
	return nil
}

func (i *injector) member(name string) *member {
	for _, m := range i.fleet.members() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// apply injects the fault, waits for its duration and lifts it. It lifts the fault early when ctx ends.
func (i *injector) apply(ctx context.Context, a action) error {
	m := i.member(a.subject)
	switch a.kind {
	case KillEntry, KillTarget:
		return i.killAndRestart(ctx, m, a.duration)
	case FreezeEntry, FreezeTarget:
		m.Signal(syscall.SIGSTOP)
		pause.For(ctx, a.duration)
		m.Signal(syscall.SIGCONT)
		return nil
	case ReclaimTarget:
		return i.reclaim(ctx, m, a.duration)
	case StallLink, CutLink, CutZone, CutPlatform:
		return i.applyToLinks(ctx, a)
	default:
		return i.applyByControl(ctx, a, m)
	}
}

func (i *injector) killAndRestart(ctx context.Context, m *member, downtime time.Duration) error {
	links := i.fleet.linksTo(m.Name)
	m.Kill()
	cutAll(links)
	pause.For(ctx, downtime)
	// The start ignores the cancellation of ctx, so that the end of the run doesn't interrupt it.
	if err := m.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	return restoreAll(links)
}

// reclaim kills a target's VM reclaimNotice after a notice, and replaces it with a new VM after downtime.
func (i *injector) reclaim(ctx context.Context, m *member, downtime time.Duration) error {
	if err := i.announceLeaving(m); err != nil {
		return err
	}
	pause.For(ctx, reclaimNotice)
	m.Kill()
	cutAll(i.fleet.linksTo(m.Name))
	pause.For(ctx, downtime)
	return i.replace(context.WithoutCancel(ctx), m)
}

func cutAll(links []*rig.Link) {
	for _, l := range links {
		l.Cut()
	}
}

func restoreAll(links []*rig.Link) error {
	var result error
	for _, l := range links {
		result = errors.CombineErrors(result, l.Restore())
	}
	return result
}

func (i *injector) applyToLinks(ctx context.Context, a action) error {
	links := i.affectedLinks(a)
	if a.kind == StallLink {
		for _, l := range links {
			l.Stall()
		}
		pause.For(ctx, a.duration)
		for _, l := range links {
			l.Unstall()
		}
		return nil
	}
	cutAll(links)
	pause.For(ctx, a.duration)
	return restoreAll(links)
}

func (i *injector) affectedLinks(a action) []*rig.Link {
	switch a.kind {
	case CutZone:
		return i.fleet.linksAcross(a.subject)
	case CutPlatform:
		return []*rig.Link{i.fleet.links[linkKey{a.subject, platformName}]}
	default:
		zone, destination, _ := strings.Cut(a.subject, linkSeparator)
		return []*rig.Link{i.fleet.links[linkKey{zone, destination}]}
	}
}

// controlFaults holds the bodies of the control requests that turn a stand-in's fault on and off.
var controlFaults = map[FaultKind]struct{ on, off string }{
	PlatformOutage:     {`{"outage":true}`, `{"outage":false}`},
	PlatformFreeze:     {`{"freeze":true}`, `{"freeze":false}`},
	PlatformSlow:       {`{"delay_millis":400}`, `{"delay_millis":0}`},
	LoseWriteResponses: {`{"lose_probability":0.5}`, `{"lose_probability":0}`},
	StallStreams:       {`{"stall_streams":true}`, `{"stall_streams":false}`},
	BreakStreams:       {`{"break_streams":5}`, `{"break_streams":0}`},
	LoseResponses:      {`{"lose_answers":3}`, `{"lose_answers":0}`},
}

// applyByControl turns a fault on and off through the control listener of the target m, or of the platform when m is
// nil.
func (i *injector) applyByControl(ctx context.Context, a action, m *member) error {
	address := i.fleet.platformControl
	if m != nil {
		address = m.control
	}
	bodies := controlFaults[a.kind]
	if err := postControl(address, "/faults", bodies.on); err != nil {
		return err
	}
	pause.For(ctx, a.duration)
	return postControl(address, "/faults", bodies.off)
}

// postControl sends a POST request to a stand-in's control listener.
func postControl(address, path, body string) error {
	return sendControl(http.MethodPost, address, path, []byte(body))
}

func sendControl(method, address, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send a control request to a stand-in")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("control request %s was answered with status %s", path, response.Status)
	}
	return nil
}
