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
	// MaxShare is the maximum of Account.Share.
	MaxShare = 1000
	// MaxDeadline is the maximum of Class.Deadline.
	MaxDeadline = 24 * time.Hour
	// MaxObjects is the maximum number of objects of each type.
	MaxObjects = 10_000
	// MaxRequestsPerSecond is the maximum of Account.RequestsPerSecond.
	MaxRequestsPerSecond = 1_000_000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Problem is one error in a Configuration.
type Problem struct {
	// Object is the type and name of the invalid object.
	Object string `json:"object"`
	// Cause states what is wrong with it.
	Cause string `json:"cause"`
	// Remedy states what to change.
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
// kind KindBadRequest that wraps a *ValidationError with all problems, in a deterministic order.
func Validate(c Configuration) error {
	v := &validator{configuration: c}
	v.checkModels()
	v.checkClasses()
	v.checkAccounts()
	v.checkServices()
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

func (v *validator) addProblem(object, remedy, format string, args ...any) {
	problem := Problem{Object: object, Cause: fmt.Sprintf(format, args...), Remedy: remedy}
	v.problems = append(v.problems, problem)
}

// checkName checks the key and the name of an object and returns the text that problems identify it by.
func (v *validator) checkName(objectType, key, name string) string {
	object := fmt.Sprintf("%s %q", objectType, key)
	if !namePattern.MatchString(key) {
		v.addProblem(object, "use 1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit",
			"has a malformed name")
	}
	if name != key {
		v.addProblem(object, "leave the name out or repeat the key", "states another name, %q", name)
	}
	return object
}

func (v *validator) checkCount(objectType string, n int) {
	if n > MaxObjects {
		v.addProblem(objectType, "delete some", "has %d objects, more than %d", n, MaxObjects)
	}
}

func (v *validator) checkModels() {
	models := v.configuration.Models
	v.checkCount("models", len(models))
	for _, key := range sortedKeys(models) {
		model := models[key]
		object := v.checkName("model", key, model.Name)
		if len(model.Versions) == 0 {
			v.addProblem(object, "list at least one version", "has no version")
		}
		v.checkNameList(object, "version", model.Versions)
		v.checkNameList(object, "adapter", model.Adapters)
	}
}

// checkNameList checks that the names are well formed and unique.
func (v *validator) checkNameList(object, item string, names []string) {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if !namePattern.MatchString(name) {
			v.addProblem(object, "use letters, digits, '.', '_' and '-'", "has a malformed %s %q", item, name)
		}
		if seen[name] {
			v.addProblem(object, "list it once", "lists %s %q twice", item, name)
		}
		seen[name] = true
	}
}

func (v *validator) checkClasses() {
	classes := v.configuration.Classes
	v.checkCount("classes", len(classes))
	byPriority := make(map[int]string, len(classes))
	for _, key := range sortedKeys(classes) {
		class := classes[key]
		object := v.checkName("class", key, class.Name)
		if class.Deadline < 0 || class.Deadline > MaxDeadline {
			v.addProblem(object, "set a deadline from 0s (no bound) to "+MaxDeadline.String(),
				"has the deadline %s", class.Deadline)
		}
		if other, duplicate := byPriority[class.Priority]; duplicate {
			v.addProblem(object, "give each class a priority of its own", "has the priority %d of class %q",
				class.Priority, other)
		}
		byPriority[class.Priority] = key
	}
}

func (v *validator) checkAccounts() {
	accounts := v.configuration.Accounts
	v.checkCount("accounts", len(accounts))
	owners := make(map[string]string)
	for _, key := range sortedKeys(accounts) {
		account := accounts[key]
		object := v.checkName("account", key, account.Name)
		v.checkAccountLimits(object, account)
		v.checkAccountClasses(object, account)
		v.checkAccountKeys(object, account, owners)
	}
}

func (v *validator) checkAccountLimits(object string, account Account) {
	if account.Share < 1 || account.Share > MaxShare {
		v.addProblem(object, fmt.Sprintf("set share from 1 to %d", MaxShare), "has the share %d", account.Share)
	}
	rate := account.RequestsPerSecond
	if !(rate >= 0 && rate <= MaxRequestsPerSecond) {
		v.addProblem(object, fmt.Sprintf("set requests_per_second from 0 (no limit) to %d", MaxRequestsPerSecond),
			"has requests_per_second %v", rate)
	}
	if account.Concurrency < 0 {
		v.addProblem(object, "set concurrency to 0 (no limit) or more", "has the concurrency %d", account.Concurrency)
	}
}

func (v *validator) checkAccountClasses(object string, account Account) {
	if len(account.Classes) == 0 {
		v.addProblem(object, "list at least one class; the first is the default", "has no class")
	}
	v.checkNameList(object, "class", account.Classes)
	for _, class := range account.Classes {
		if _, exists := v.configuration.Classes[class]; !exists {
			v.addProblem(object, "create the class first or leave it out", "refers to class %q, which does not exist", class)
		}
	}
}

func (v *validator) checkAccountKeys(object string, account Account, owners map[string]string) {
	for i, hash := range account.KeyHashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
			v.addProblem(object, "write the key's SHA-256 as 64 lower-case hexadecimal digits",
				"has a malformed entry %d in key_hashes", i+1)
			continue
		}
		if owner, duplicate := owners[hash]; duplicate {
			v.addProblem(object, "make a new key", "shares an API key with account %q (entry %d in key_hashes)", owner, i+1)
		}
		owners[hash] = account.Name
	}
}

func (v *validator) checkServices() {
	services := v.configuration.Services
	v.checkCount("services", len(services))
	for _, key := range sortedKeys(services) {
		service := services[key]
		object := v.checkName("service", key, service.Name)
		v.checkNameList(object, "zone", service.Zones)
		switch service.Kind {
		case KindEngine:
			v.checkEngineService(object, service)
		case KindPlain:
			if len(service.Runs)+len(service.Loads) > 0 {
				v.addProblem(object, "leave runs and loads out, or set kind to engine", "is plain but runs models")
			}
		default:
			v.addProblem(object, "set kind to engine or plain", "has the kind %q", service.Kind)
		}
	}
}

func (v *validator) checkEngineService(object string, service Service) {
	if len(service.Runs) == 0 {
		v.addProblem(object, "list at least one model in runs", "runs no model")
	}
	for i, variant := range service.Runs {
		if slices.Contains(service.Runs[:i], variant) {
			v.addProblem(object, "list it once", "runs %s twice", variant)
		}
		v.checkVariant(object, variant)
	}
	v.checkLoads(object, service)
}

// checkLoads checks that the variants to load are unique, have a version and are declared in Runs.
func (v *validator) checkLoads(object string, service Service) {
	for i, variant := range service.Loads {
		if variant.Version == "" {
			v.addProblem(object, "name the version to load", "loads %s without a version", variant)
		}
		if slices.Contains(service.Loads[:i], variant) {
			v.addProblem(object, "list it once", "loads %s twice", variant)
		}
		if !service.CanRun(variant) {
			v.addProblem(object, "add it to runs or leave it out of loads", "loads %s, which it does not run", variant)
		}
	}
}

func (v *validator) checkVariant(object string, variant Variant) {
	model, exists := v.configuration.Models[variant.Model]
	if !exists {
		v.addProblem(object, "create the model first or leave it out of runs",
			"runs model %q, which does not exist", variant.Model)
		return
	}
	if variant.Version != "" && !slices.Contains(model.Versions, variant.Version) {
		v.addProblem(object, "add the version to the model or leave it out of runs",
			"runs version %q, which model %q does not have", variant.Version, variant.Model)
	}
	if variant.Adapter != "" && !slices.Contains(model.Adapters, variant.Adapter) {
		v.addProblem(object, "add the adapter to the model or leave it out of runs",
			"runs adapter %q, which model %q does not have", variant.Adapter, variant.Model)
	}
}
