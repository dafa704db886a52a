package policy

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"godwitcart/internal/apierror"
)

// Limits on a Configuration.
const (
	// MaxShare is the largest weight of an account.
	MaxShare = 1000
	// MaxDeadline is the longest deadline of a class.
	MaxDeadline = 24 * time.Hour
	// MaxObjects bounds the objects of each type.
	MaxObjects = 10_000
	// MaxRequestsPerSecond bounds the rate limit of an account.
	MaxRequestsPerSecond = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Problem is one fault of a Configuration.
type Problem struct {
	// Object is the type and name of the faulty object.
	Object string `json:"object"`
	// Cause says what is wrong with it.
	Cause string `json:"cause"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// ValidationError holds every Problem that Validate found.
type ValidationError struct {
	Problems []Problem
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s %s (%s)", p.Object, p.Cause, p.Remedy))
	}
	return strings.Join(lines, "; ")
}

// Validate checks a Configuration as a whole. It returns nil or an apierror.Error of
// kind KindBadRequest that wraps a *ValidationError with all problems, in a fixed order.
func Validate(c Configuration) error {
	v := &validator{configuration: c}
	v.models()
	v.classes()
	v.accounts()
	v.services()
	if len(v.problems) == 0 {
		return nil
	}
	return apierror.Wrap(&ValidationError{Problems: v.problems}, apierror.KindBadRequest,
		"the configuration is not valid", "correct every problem named here and propose the change again")
}

type validator struct {
	configuration Configuration
	problems      []Problem
}

func (v *validator) report(object, remedy, format string, args ...any) {
	problem := Problem{Object: object, Cause: fmt.Sprintf(format, args...), Remedy: remedy}
	v.problems = append(v.problems, problem)
}

// identity checks the key and the name of an object and returns how to call it.
func (v *validator) identity(objectType, key, name string) string {
	object := fmt.Sprintf("%s %q", objectType, key)
	if !namePattern.MatchString(key) {
		v.report(object, "use 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit",
			"has a malformed name")
	}
	if name != key {
		v.report(object, "leave the name out or repeat the key", "states another name, %q", name)
	}
	return object
}

func (v *validator) count(objectType string, n int) {
	if n > MaxObjects {
		v.report(objectType, "delete some", "has %d objects, more than %d", n, MaxObjects)
	}
}

func (v *validator) models() {
	models := v.configuration.Models
	v.count("models", len(models))
	for _, key := range sortedKeys(models) {
		model := models[key]
		object := v.identity("model", key, model.Name)
		if len(model.Versions) == 0 {
			v.report(object, "list at least one version", "has no version")
		}
		v.list(object, "version", model.Versions)
		v.list(object, "adapter", model.Adapters)
	}
}

// list checks a list of names that must be well formed and unique.
func (v *validator) list(object, item string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !namePattern.MatchString(name) {
			v.report(object, "use letters, digits, '.', '_' and '-'", "has a malformed %s %q", item, name)
		}
		if seen[name] {
			v.report(object, "list it once", "lists %s %q twice", item, name)
		}
		seen[name] = true
	}
}

func (v *validator) classes() {
	classes := v.configuration.Classes
	v.count("classes", len(classes))
	byPriority := make(map[int]string, len(classes))
	for _, key := range sortedKeys(classes) {
		class := classes[key]
		object := v.identity("class", key, class.Name)
		if class.Deadline < 0 || class.Deadline > MaxDeadline {
			v.report(object, "set a deadline from 0s (no bound) to "+MaxDeadline.String(),
				"has the deadline %s", class.Deadline)
		}
		if other, taken := byPriority[class.Priority]; taken {
			v.report(object, "give each class a priority of its own", "has the priority %d of class %q",
				class.Priority, other)
		}
		byPriority[class.Priority] = key
	}
}

func (v *validator) accounts() {
	accounts := v.configuration.Accounts
	v.count("accounts", len(accounts))
	owners := make(map[string]string)
	for _, key := range sortedKeys(accounts) {
		account := accounts[key]
		object := v.identity("account", key, account.Name)
		v.accountLimits(object, account)
		v.accountClasses(object, account)
		v.accountKeys(object, account, owners)
	}
}

func (v *validator) accountLimits(object string, account Account) {
	if account.Share < 1 || account.Share > MaxShare {
		v.report(object, fmt.Sprintf("set share from 1 to %d", MaxShare), "has the share %d", account.Share)
	}
	rate := account.RequestsPerSecond
	if !(rate >= 0 && rate <= MaxRequestsPerSecond) {
		v.report(object, fmt.Sprintf("set requests_per_second from 0 (no limit) to %d", MaxRequestsPerSecond),
			"has requests_per_second %v", rate)
	}
	if account.Concurrency < 0 {
		v.report(object, "set concurrency to 0 (no limit) or more", "has the concurrency %d", account.Concurrency)
	}
}

func (v *validator) accountClasses(object string, account Account) {
	if len(account.Classes) == 0 {
		v.report(object, "list at least one class; the first is the default", "has no class")
	}
	v.list(object, "class", account.Classes)
	for _, class := range account.Classes {
		if _, exists := v.configuration.Classes[class]; !exists {
			v.report(object, "create the class first or leave it out", "refers to class %q, which does not exist", class)
		}
	}
}

func (v *validator) accountKeys(object string, account Account, owners map[string]string) {
	for i, hash := range account.KeyHashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
			v.report(object, "write the key's SHA-256 as 64 lower-case hexadecimal digits",
				"has a malformed entry %d in key_hashes", i+1)
			continue
		}
		if owner, taken := owners[hash]; taken {
			v.report(object, "make a new key", "shares an API key with account %q (entry %d in key_hashes)", owner, i+1)
		}
		owners[hash] = account.Name
	}
}

func (v *validator) services() {
	services := v.configuration.Services
	v.count("services", len(services))
	for _, key := range sortedKeys(services) {
		service := services[key]
		object := v.identity("service", key, service.Name)
		v.list(object, "zone", service.Zones)
		switch service.Kind {
		case KindEngine:
			v.engineService(object, service)
		case KindPlain:
			if len(service.Runs)+len(service.Loads) > 0 {
				v.report(object, "leave runs and loads out, or set kind to engine", "is plain but runs models")
			}
		default:
			v.report(object, "set kind to engine or plain", "has the kind %q", service.Kind)
		}
	}
}

func (v *validator) engineService(object string, service Service) {
	if len(service.Runs) == 0 {
		v.report(object, "list at least one model in runs", "runs no model")
	}
	for i, variant := range service.Runs {
		if slices.Contains(service.Runs[:i], variant) {
			v.report(object, "list it once", "runs %s twice", variant)
		}
		v.variant(object, variant)
	}
	v.loads(object, service)
}

// loads checks that what targets are to have loaded is declared and names its version.
func (v *validator) loads(object string, service Service) {
	for i, variant := range service.Loads {
		if variant.Version == "" {
			v.report(object, "name the version to load", "loads %s without a version", variant)
		}
		if slices.Contains(service.Loads[:i], variant) {
			v.report(object, "list it once", "loads %s twice", variant)
		}
		if !service.MayRun(variant) {
			v.report(object, "add it to runs or leave it out of loads", "loads %s, which it does not run", variant)
		}
	}
}

func (v *validator) variant(object string, variant Variant) {
	model, exists := v.configuration.Models[variant.Model]
	if !exists {
		v.report(object, "create the model first or leave it out of runs",
			"runs model %q, which does not exist", variant.Model)
		return
	}
	if variant.Version != "" && !slices.Contains(model.Versions, variant.Version) {
		v.report(object, "add the version to the model or leave it out of runs",
			"runs version %q, which model %q does not have", variant.Version, variant.Model)
	}
	if variant.Adapter != "" && !slices.Contains(model.Adapters, variant.Adapter) {
		v.report(object, "add the adapter to the model or leave it out of runs",
			"runs adapter %q, which model %q does not have", variant.Adapter, variant.Model)
	}
}
