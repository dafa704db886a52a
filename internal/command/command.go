// Package command carries out operators' commands: changes of the configuration, drains,
// loads and cancellations. It asks nothing; see package query.
package command

import (
	"context"
	"fmt"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// Configuration accepts changes of the configuration.
type Configuration interface {
	Propose(ctx context.Context, change acceptance.Change) (acceptance.Outcome, error)
	// At returns an accepted version that the history still holds.
	ConfigurationAt(ctx context.Context, version uint64) (*policy.Configuration, error)
}

// Operations acts on targets and requests.
type Operations interface {
	// SetDrained takes a target out of use or puts it back.
	SetDrained(ctx context.Context, operator, target string, drained bool) error
	// SetLoaded asks for a variant to be loaded on a target or unloaded from it.
	SetLoaded(ctx context.Context, operator, target string, variant policy.Variant, loaded bool) error
	// Cancel cancels a request on whichever VM serves it and reports whether one did.
	Cancel(ctx context.Context, request, reason string) (bool, error)
}

// Result tells what a command did, or would do.
type Result struct {
	Message string `json:"message"`
	// Version is the accepted version, if the command changed the configuration; for a dry run,
	// the version that it was compared with.
	Version  uint64          `json:"version,omitempty"`
	Proposal string          `json:"proposal,omitempty"`
	Changes  []policy.Change `json:"changes,omitempty"`
	DryRun   bool            `json:"dry_run,omitempty"`
}

// Executor carries out commands. It is safe for concurrent use.
type Executor struct {
	configuration Configuration
	operations    Operations
}

// NewExecutor returns an Executor.
func NewExecutor(configuration Configuration, operations Operations) *Executor {
	return &Executor{configuration: configuration, operations: operations}
}

// Execute carries out a command for an operator.
func (e *Executor) Execute(ctx context.Context, operator string, command *language.Command) (Result, error) {
	change, changesConfiguration, err := e.change(ctx, command)
	if err != nil {
		return Result{}, err
	}
	if changesConfiguration {
		change.Operator = operator
		change.Summary = summary(command)
		change.DryRun = command.DryRun
		return e.propose(ctx, change)
	}
	if command.DryRun {
		return Result{Message: "would " + command.String(), DryRun: true}, nil
	}
	return e.operate(ctx, operator, command)
}

// Apply replaces the whole configuration.
func (e *Executor) Apply(ctx context.Context, operator string, configuration *policy.Configuration, dryRun bool) (Result, error) {
	return e.propose(ctx, acceptance.Change{
		Operator: operator,
		Summary:  "apply a whole configuration",
		DryRun:   dryRun,
		Apply: func(current *policy.Configuration) error {
			*current = *configuration.Clone()
			return nil
		},
	})
}

// summary is the command as the history keeps it.
func summary(command *language.Command) string {
	plain := *command
	plain.DryRun = false
	return plain.String()
}

func (e *Executor) propose(ctx context.Context, change acceptance.Change) (Result, error) {
	outcome, err := e.configuration.Propose(ctx, change)
	if err != nil {
		return Result{}, err
	}
	result := Result{Version: outcome.Version, Proposal: outcome.Proposal, Changes: outcome.Changes, DryRun: change.DryRun}
	switch {
	case len(outcome.Changes) == 0:
		result.Message = fmt.Sprintf("nothing to change in version %d", outcome.Version)
	case change.DryRun:
		result.Message = fmt.Sprintf("would change version %d", outcome.Version)
	default:
		result.Message = fmt.Sprintf("version %d is accepted", outcome.Version)
	}
	return result, nil
}

// change returns the change of the configuration that a command stands for, if it is one.
func (e *Executor) change(ctx context.Context, command *language.Command) (acceptance.Change, bool, error) {
	switch {
	case command.Create != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return create(c, command.Create) }}, true, nil
	case command.Change != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return change(c, command.Change) }}, true, nil
	case command.Delete != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return remove(c, *command.Delete) }}, true, nil
	case command.RollBack != nil:
		earlier, err := e.configuration.ConfigurationAt(ctx, uint64(command.RollBack.Version))
		if err != nil {
			return acceptance.Change{}, false, err
		}
		return acceptance.Change{Apply: func(c *policy.Configuration) error {
			*c = *earlier.Clone()
			return nil
		}}, true, nil
	default:
		return acceptance.Change{}, false, nil
	}
}

// operate carries out a command that leaves the configuration as it is.
func (e *Executor) operate(ctx context.Context, operator string, command *language.Command) (Result, error) {
	switch {
	case command.Drain != nil:
		return done(e.operations.SetDrained(ctx, operator, command.Drain.Name, true), "%s gets no new work", command.Drain.Name)
	case command.Undrain != nil:
		return done(e.operations.SetDrained(ctx, operator, command.Undrain.Name, false), "%s gets work again", command.Undrain.Name)
	case command.Load != nil:
		return e.setLoaded(ctx, operator, command.Load, true)
	case command.Unload != nil:
		return e.setLoaded(ctx, operator, command.Unload, false)
	default:
		return e.cancel(ctx, operator, command.Cancel.Request)
	}
}

func done(err error, format string, args ...any) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	return Result{Message: fmt.Sprintf(format, args...)}, nil
}

func (e *Executor) setLoaded(ctx context.Context, operator string, load *language.Load, loaded bool) (Result, error) {
	variant, err := policy.ParseVariant(load.Variant)
	if err != nil {
		return Result{}, err
	}
	action := "unloaded from"
	if loaded {
		action = "loaded on"
	}
	err = e.operations.SetLoaded(ctx, operator, load.Target, variant, loaded)
	return done(err, "%s is to be %s %s; \"show targets\" tells when it is", variant, action, load.Target)
}

func (e *Executor) cancel(ctx context.Context, operator, request string) (Result, error) {
	found, err := e.operations.Cancel(ctx, request, "canceled by operator "+operator)
	if err != nil {
		return Result{}, err
	}
	if !found {
		return Result{}, apierror.Newf(apierror.KindNotFound, "look for it with \"show requests\"",
			"no VM that can be reached serves the request %q", request)
	}
	return Result{Message: fmt.Sprintf("request %s is canceled", request)}, nil
}
