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

// reclaimNotice is how long a reclaimed target has between the notice and its end.
const reclaimNotice = 2 * time.Second

// controlTimeout bounds one control call to a stand-in.
const controlTimeout = 5 * time.Second

// injector carries out actions on a fleet and keeps what was done.
type injector struct {
	// plannedOnly leaves out all faults but the planned stops.
	plannedOnly bool

	fleet  *fleet
	random *drawer

	mu     sync.Mutex
	faults []Fault
	err    error
}

// do carries out one action and lifts it. An action on a program that another one acts on is
// left out.
func (i *injector) do(ctx context.Context, a action) {
	busy := i.lockOf(a)
	if busy != nil {
		if !busy.TryLock() {
			return
		}
		defer busy.Unlock()
	}
	fault := Fault{Kind: a.kind, Subject: a.subject, From: time.Now()}
	err := i.apply(ctx, a)
	fault.To = time.Now()
	log.Debug("fault", "what", fault)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, fault)
	i.err = errors.CombineErrors(i.err, errors.Wrap(err, fault.String()))
}

// lockOf returns the lock of the program that the action acts on; links have none.
func (i *injector) lockOf(a action) *sync.Mutex {
	if a.subject == platformName {
		return &i.fleet.platform.Busy
	}
	for _, m := range i.fleet.members() {
		if m.Name == a.subject {
			return &m.Busy
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

// apply carries out the action, holds it and lifts it. What ctx interrupts is lifted at once.
func (i *injector) apply(ctx context.Context, a action) error {
	m := i.member(a.subject)
	switch a.kind {
	case KillEntry, KillTarget:
		return i.killAndRestart(ctx, m, a.hold)
	case FreezeEntry, FreezeTarget:
		m.Signal(syscall.SIGSTOP)
		pause.For(ctx, a.hold)
		m.Signal(syscall.SIGCONT)
		return nil
	case ReclaimTarget:
		return i.reclaim(ctx, m, a.hold)
	case StallLink, CutLink, CutZone, CutPlatform:
		return i.applyToLinks(ctx, a)
	default:
		return i.applyByControl(ctx, a, m)
	}
}

func (i *injector) killAndRestart(ctx context.Context, m *member, down time.Duration) error {
	links := i.fleet.linksTo(m.Name)
	m.Kill()
	cutAll(links)
	pause.For(ctx, down)
	// The run's end must not leave a program half started.
	if err := m.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	return restoreAll(links)
}

// reclaim takes a VM away a short time after notice, and later puts another one in its place.
func (i *injector) reclaim(ctx context.Context, m *member, down time.Duration) error {
	if err := i.announceLeaving(m); err != nil {
		return err
	}
	pause.For(ctx, reclaimNotice)
	m.Kill()
	cutAll(i.fleet.linksTo(m.Name))
	pause.For(ctx, down)
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
	links := i.linksOf(a)
	if a.kind == StallLink {
		for _, l := range links {
			l.Stall()
		}
		pause.For(ctx, a.hold)
		for _, l := range links {
			l.Unstall()
		}
		return nil
	}
	cutAll(links)
	pause.For(ctx, a.hold)
	return restoreAll(links)
}

func (i *injector) linksOf(a action) []*rig.Link {
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

// controlFaults are the bodies that switch a stand-in's fault on and off.
var controlFaults = map[FaultKind]struct{ on, off string }{
	PlatformOutage:  {`{"outage":true}`, `{"outage":false}`},
	PlatformFreeze:  {`{"freeze":true}`, `{"freeze":false}`},
	PlatformSlow:    {`{"delay_millis":400}`, `{"delay_millis":0}`},
	LoseWriteAnswer: {`{"lose_probability":0.5}`, `{"lose_probability":0}`},
	StallStreams:    {`{"stall_streams":true}`, `{"stall_streams":false}`},
	BreakStreams:    {`{"break_streams":5}`, `{"break_streams":0}`},
	LoseAnswers:     {`{"lose_answers":3}`, `{"lose_answers":0}`},
}

func (i *injector) applyByControl(ctx context.Context, a action, m *member) error {
	address := i.fleet.platformControl
	if m != nil {
		address = m.control
	}
	bodies := controlFaults[a.kind]
	if err := control(address, "/faults", bodies.on); err != nil {
		return err
	}
	pause.For(ctx, a.hold)
	return control(address, "/faults", bodies.off)
}

// control posts to a stand-in's control listener.
func control(address, path, body string) error {
	return controlMethod(http.MethodPost, address, path, []byte(body))
}

func controlMethod(method, address, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "control a stand-in")
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("control call %s answered %s", path, response.Status)
	}
	return nil
}
