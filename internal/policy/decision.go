package policy

import (
	"reflect"

	"godwitcart/internal/apierror"
)

// Query holds the fields of a request that determine its Decision.
type Query struct {
	// Key is the client's API key.
	Key string
	// Model is the model string (see ParseVariant); empty for a call to a plain service.
	Model string
	// Service is the service that the client names; empty leaves the choice to Resolve.
	Service string
	// Class is the priority class that the client names; empty means the account's default.
	Class string
}

// Decision is the part of the configuration that applies to one request.
type Decision struct {
	Account  Account
	Class    Class
	Service  Service
	Variants []Variant
}

// Decide returns the decision for a query, or the error to answer the client with.
func (x *Index) Decide(query Query) (Decision, error) {
	account, err := x.AccountByKey(query.Key)
	if err != nil {
		return Decision{}, err
	}
	class, err := x.Class(account, query.Class)
	if err != nil {
		return Decision{}, err
	}
	// The account's keys and its other classes do not affect this request; SameDecision must not compare them.
	account.KeyHashes = nil
	account.Classes = nil
	decision := Decision{Account: account, Class: class}
	if query.Model == "" {
		decision.Service, err = x.Service(query.Service)
		return decision, err
	}
	resolution, err := x.Resolve(query.Model, query.Service)
	decision.Service = resolution.Service
	// Which variants targets preload does not affect the request either.
	decision.Service.Loads = nil
	decision.Variants = resolution.Variants
	return decision, err
}

// SameDecision reports whether both configurations give the query the same account, class, service and variants, or
// an error of the same kind.
func SameDecision(a, b *Index, query Query) bool {
	decisionA, errA := a.Decide(query)
	decisionB, errB := b.Decide(query)
	if errA != nil || errB != nil {
		return errA != nil && errB != nil && apierror.KindOf(errA) == apierror.KindOf(errB)
	}
	return reflect.DeepEqual(decisionA, decisionB)
}
