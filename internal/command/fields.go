package command

import (
	"slices"
	"strconv"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// setter applies an assignment to one field of an object.
type setter[V any] func(object *V, assignment language.Assignment) error

var serviceFields = map[string]setter[policy.Service]{
	"kind": singleValue(func(s *policy.Service, value string) error {
		s.Kind = policy.Kind(value)
		return nil
	}),
	"non_idempotent": boolField(func(s *policy.Service) *bool { return &s.NonIdempotent }),
	"zones":          listField(func(s *policy.Service) *[]string { return &s.Zones }),
	"runs":           variantsField(func(s *policy.Service) *[]policy.Variant { return &s.Runs }),
	"loads":          variantsField(func(s *policy.Service) *[]policy.Variant { return &s.Loads }),
	"checks_fencing": boolField(func(s *policy.Service) *bool { return &s.ChecksFencing }),
}

var accountFields = map[string]setter[policy.Account]{
	"key_hashes":          listField(func(a *policy.Account) *[]string { return &a.KeyHashes }),
	"share":               integerField(func(a *policy.Account) *int { return &a.Share }),
	"requests_per_second": numberField(func(a *policy.Account) *float64 { return &a.RequestsPerSecond }),
	"concurrency":         integerField(func(a *policy.Account) *int { return &a.Concurrency }),
	"classes":             listField(func(a *policy.Account) *[]string { return &a.Classes }),
}

var classFields = map[string]setter[policy.Class]{
	"priority": integerField(func(c *policy.Class) *int { return &c.Priority }),
	"deadline": durationField(func(c *policy.Class) *time.Duration { return &c.Deadline }),
}

var modelFields = map[string]setter[policy.Model]{
	"versions": listField(func(m *policy.Model) *[]string { return &m.Versions }),
	"adapters": listField(func(m *policy.Model) *[]string { return &m.Adapters }),
}

func assignmentError(assignment language.Assignment, remedy string) error {
	return apierror.Newf(apierror.KindBadRequest, remedy, "%s cannot be applied", assignment)
}

// singleValue returns a setter for a field that takes exactly one value.
func singleValue[V any](set func(object *V, value string) error) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		if assignment.Operator != "=" || len(assignment.Values) != 1 {
			return assignmentError(assignment, "write "+assignment.Field+"= and one value")
		}
		return set(object, assignment.Values[0])
	}
}

// parsedValue returns a setter for a single-value field that is parsed from text.
func parsedValue[V, T any](field func(*V) *T, parse func(string) (T, error), remedy string) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		set := singleValue(func(object *V, value string) error {
			converted, err := parse(value)
			if err != nil {
				return assignmentError(assignment, remedy)
			}
			*field(object) = converted
			return nil
		})
		return set(object, assignment)
	}
}

func boolField[V any](field func(*V) *bool) setter[V] {
	return parsedValue(field, strconv.ParseBool, "write true or false")
}

func integerField[V any](field func(*V) *int) setter[V] {
	return parsedValue(field, strconv.Atoi, "write a whole number")
}

func numberField[V any](field func(*V) *float64) setter[V] {
	parse := func(text string) (float64, error) { return strconv.ParseFloat(text, 64) }
	return parsedValue(field, parse, "write a number")
}

func durationField[V any](field func(*V) *time.Duration) setter[V] {
	return parsedValue(field, time.ParseDuration, "write a length of time such as 500ms, 30s or 2m")
}

func listField[V any](field func(*V) *[]string) setter[V] {
	return func(object *V, assignment language.Assignment) error {
		edited, err := editList(*field(object), assignment, assignment.Values)
		*field(object) = edited
		return err
	}
}

func variantsField[V any](field func(*V) *[]policy.Variant) setter[V] {
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
		edited, err := editList(*field(object), assignment, values)
		*field(object) = edited
		return err
	}
}

// editList applies an assignment to a list: "=" replaces the list, "+=" adds the values that it lacks, and "-="
// removes values, each of which must be in the list. A single empty value stands for the empty list.
func editList[T comparable](current []T, assignment language.Assignment, values []T) ([]T, error) {
	var empty T
	if len(values) == 1 && values[0] == empty {
		values = nil
	}
	switch assignment.Operator {
	case "+=":
		return addValues(current, values), nil
	case "-=":
		return removeValues(current, assignment, values)
	default:
		return values, nil
	}
}

func addValues[T comparable](current, values []T) []T {
	result := slices.Clone(current)
	for _, value := range values {
		if !slices.Contains(result, value) {
			result = append(result, value)
		}
	}
	return result
}

func removeValues[T comparable](current []T, assignment language.Assignment, values []T) ([]T, error) {
	result := slices.Clone(current)
	for _, value := range values {
		index := slices.Index(result, value)
		if index < 0 {
			return current, apierror.Newf(apierror.KindNotFound, "leave it out", "%s: %v is not in the list", assignment, value)
		}
		result = slices.Delete(result, index, index+1)
	}
	return result, nil
}
