package command

import (
	"slices"
	"strconv"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// setter changes one field of an object.
type setter[V any] func(object *V, assignment language.Assignment) error

var serviceFields = map[string]setter[policy.Service]{
	"kind": one(func(s *policy.Service, value string) error {
		s.Kind = policy.Kind(value)
		return nil
	}),
	"non_idempotent": boolean(func(s *policy.Service) *bool { return &s.NonIdempotent }),
	"zones":          list(func(s *policy.Service) *[]string { return &s.Zones }),
	"runs":           variants(func(s *policy.Service) *[]policy.Variant { return &s.Runs }),
	"loads":          variants(func(s *policy.Service) *[]policy.Variant { return &s.Loads }),
	"checks_fencing": boolean(func(s *policy.Service) *bool { return &s.ChecksFencing }),
}

var accountFields = map[string]setter[policy.Account]{
	"key_hashes":          list(func(a *policy.Account) *[]string { return &a.KeyHashes }),
	"share":               integer(func(a *policy.Account) *int { return &a.Share }),
	"requests_per_second": number(func(a *policy.Account) *float64 { return &a.RequestsPerSecond }),
	"concurrency":         integer(func(a *policy.Account) *int { return &a.Concurrency }),
	"classes":             list(func(a *policy.Account) *[]string { return &a.Classes }),
}

var classFields = map[string]setter[policy.Class]{
	"priority": integer(func(c *policy.Class) *int { return &c.Priority }),
	"deadline": duration(func(c *policy.Class) *time.Duration { return &c.Deadline }),
}

var modelFields = map[string]setter[policy.Model]{
	"versions": list(func(m *policy.Model) *[]string { return &m.Versions }),
	"adapters": list(func(m *policy.Model) *[]string { return &m.Adapters }),
}

func malformed(assignment language.Assignment, remedy string) error {
	return apierror.Newf(apierror.KindBadRequest, remedy, "%s cannot be applied", assignment)
}

// one sets a field that has a single value.
func one[V any](set func(object *V, value string) error) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		if assignment.Operator != "=" || len(assignment.Values) != 1 {
			return malformed(assignment, "write "+assignment.Field+"= and one value")
		}
		return set(object, assignment.Values[0])
	}
}

// parsed sets a field whose value is parsed from text.
func parsed[V, T any](field func(*V) *T, parse func(string) (T, error), remedy string) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		set := one(func(object *V, value string) error {
			read, err := parse(value)
			if err != nil {
				return malformed(assignment, remedy)
			}
			*field(object) = read
			return nil
		})
		return set(object, assignment)
	}
}

func boolean[V any](field func(*V) *bool) setter[V] {
	return parsed(field, strconv.ParseBool, "write true or false")
}

func integer[V any](field func(*V) *int) setter[V] {
	return parsed(field, strconv.Atoi, "write a whole number")
}

func number[V any](field func(*V) *float64) setter[V] {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return parsed(field, parse, "write a number")
}

func duration[V any](field func(*V) *time.Duration) setter[V] {
	return parsed(field, time.ParseDuration, "write a length of time such as 500ms, 30s or 2m")
}

func list[V any](field func(*V) *[]string) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		changed, err := edited(*field(object), assignment, assignment.Values)
		*field(object) = changed
		return err
	}
}

func variants[V any](field func(*V) *[]policy.Variant) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		values := make([]policy.Variant, 0, len(assignment.Values))
		for _, text := range assignment.Values {
			if text == "" {
				values = append(values, policy.Variant{})
				continue
			}
			variant, err := policy.ParseVariant(text)
			if err != nil {
				return err
			}
			values = append(values, variant)
		}
		changed, err := edited(*field(object), assignment, values)
		*field(object) = changed
		return err
	}
}

// edited applies an assignment to a list: it replaces it, adds what is absent, or removes what
// must be present. A single empty value stands for the empty list.
func edited[T comparable](current []T, assignment language.Assignment, values []T) ([]T, error) {
	var empty T
	if len(values) == 1 && values[0] == empty {
		values = nil
	}
	switch assignment.Operator {
	case "+=":
		return added(current, values), nil
	case "-=":
		return removed(current, assignment, values)
	default:
		return values, nil
	}
}

func added[T comparable](current, values []T) []T {
	result := slices.Clone(current)
	for _, value := range values {
		if !slices.Contains(result, value) {
			result = append(result, value)
		}
	}
	return result
}

func removed[T comparable](current []T, assignment language.Assignment, values []T) ([]T, error) {
	result := slices.Clone(current)
	for _, value := range values {
		at := slices.Index(result, value)
		if at < 0 {
			return current, apierror.Newf(apierror.KindNotFound, "leave it out", "%s: %v is not in the list", assignment, value)
		}
		result = slices.Delete(result, at, at+1)
	}
	return result, nil
}
