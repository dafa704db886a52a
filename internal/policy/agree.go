package policy

import (
	"reflect"

	"godwitcart/internal/apierror"
)

// Query is a request's question to the configuration.
type Query struct {
	// Key is the caller's API key.
	Key string
	// Model is the model string; empty for a call to a plain service.
	Model string
	// Service is the service that the caller names; empty leaves the choice to Resolve.
	Service string
	// Class is the priority class that the caller names; empty means the account's default.
	Class string
}

// Decision is everything that the configuration says about one request.
type Decision struct {
	Account  Account
	Class    Class
	Service  Service
	Variants []Variant
}

// Decide answers a query, or returns the error that the caller receives.
func (x *Index) Decide(query Query) (Decision, error) {
	account, err := x.AccountByKey(query.Key)
	if err != nil {
		return Decision{}, err
	}
	class, err := x.Class(account, query.Class)
	if err != nil {
		return Decision{}, err
	}
	// The account's keys and other classes do not bear on this request.
	account.KeyHashes = nil
	account.Classes = nil
	decision := Decision{Account: account, Class: class}
	if query.Model == "" {
		decision.Service, err = x.Service(query.Service)
		return decision, err
	}
	resolution, err := x.Resolve(query.Model, query.Service)
	decision.Service = resolution.Service
	// What targets are to have loaded does not bear on a request either.
	decision.Service.Loads = nil
	decision.Variants = resolution.Variants
	return decision, err
}

// Agree reports whether both configurations give the query the same meaning: the same
// account, class, service and variants, or a refusal of the same kind.
func Agree(a, b *Index, query Query) bool {
	decisionA, errA := a.Decide(query)
	decisionB, errB := b.Decide(query)
	if errA != nil || errB != nil {
		return errA != nil && errB != nil && apierror.KindOf(errA) == apierror.KindOf(errB)
	}
	return reflect.DeepEqual(decisionA, decisionB)
}
