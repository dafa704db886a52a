// Package command executes operators' commands: configuration changes, drains, model loads and cancellations.
// Queries are executed by package query.
package command

import (
	"context"
	"fmt"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// Configuration accepts configuration changes and returns earlier versions.
type Configuration interface {
	Propose(ctx context.Context, change acceptance.Change) (acceptance.Outcome, error)
	// ConfigurationAt returns an accepted version, if the history still contains it.
	ConfigurationAt(ctx context.Context, version uint64) (*policy.Configuration, error)
}

// Operations are the actions on targets and requests, which leave the configuration unchanged.
type Operations interface {
	// SetDrained drains a target or ends its drain.
	SetDrained(ctx context.Context, operator, target string, drained bool) error
	// SetLoaded requests that a variant be loaded on a target or unloaded from it; it does not wait for that.
	SetLoaded(ctx context.Context, operator, target string, variant policy.Variant, loaded bool) error
	// Cancel cancels a request on whichever VM serves it and reports whether a VM did.
	Cancel(ctx context.Context, request, reason string) (bool, error)
}

// Result describes what a command changed, or would change in a dry run.
type Result struct {
	Message string `json:"message"`
	// Version is the accepted version if the command changed the configuration. For a dry run it is the version
	// that the change was compared with.
	Version  uint64          `json:"version,omitempty"`
	Proposal string          `json:"proposal,omitempty"`
	Changes  []policy.Change `json:"changes,omitempty"`
	DryRun   bool            `json:"dry_run,omitempty"`
}

// Executor executes commands. It is safe for concurrent use.
type Executor struct {
	configuration Configuration
	operations    Operations
}

func NewExecutor(configuration Configuration, operations Operations) *Executor {
	return &Executor{configuration: configuration, operations: operations}
}

// Execute executes a command on behalf of an operator.
func (e *Executor) Execute(ctx context.Context, operator string, command *language.Command) (Result, error) {
	change, changesConfiguration, err := e.configurationChange(ctx, command)
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

// Apply replaces the whole configuration on behalf of an operator.
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

// summary returns the command as it is recorded in the history, without the dry-run flag.
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

// configurationChange returns the configuration change that a command describes, and false if the command leaves
// the configuration unchanged.
func (e *Executor) configurationChange(ctx context.Context, command *language.Command) (acceptance.Change, bool, error) {
	switch {
	case command.Create != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return createObject(c, command.Create) }}, true, nil
	case command.Change != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return changeObject(c, command.Change) }}, true, nil
	case command.Delete != nil:
		return acceptance.Change{Apply: func(c *policy.Configuration) error { return deleteObject(c, *command.Delete) }}, true, nil
	case command.RollBack != nil:
		previous, err := e.configuration.ConfigurationAt(ctx, uint64(command.RollBack.Version))
		if err != nil {
			return acceptance.Change{}, false, err
		}
		return acceptance.Change{Apply: func(c *policy.Configuration) error {
			*c = *previous.Clone()
			return nil
		}}, true, nil
	default:
		return acceptance.Change{}, false, nil
	}
}

// operate executes a command that leaves the configuration unchanged.
func (e *Executor) operate(ctx context.Context, operator string, command *language.Command) (Result, error) {
	switch {
	case command.Drain != nil:
		return operationResult(e.operations.SetDrained(ctx, operator, command.Drain.Name, true), "%s gets no new work", command.Drain.Name)
	case command.Undrain != nil:
		return operationResult(e.operations.SetDrained(ctx, operator, command.Undrain.Name, false), "%s gets work again", command.Undrain.Name)
	case command.Load != nil:
		return e.setLoaded(ctx, operator, command.Load, true)
	case command.Unload != nil:
		return e.setLoaded(ctx, operator, command.Unload, false)
	default:
		return e.cancel(ctx, operator, command.Cancel.Request)
	}
}

func operationResult(err error, format string, args ...any) (Result, error) {
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
	return operationResult(err, "%s is to be %s %s; \"show targets\" tells when it is", variant, action, load.Target)
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
