package policy

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"

	"godwitcart/internal/apierror"
)

const keyHashBytes = sha256.Size

// Index provides lookups in one Configuration. It is immutable and safe for concurrent use.
type Index struct {
	configuration *Configuration
	// keys is sorted by hash.
	keys []keyEntry
	// servicesByModel holds the names of the services that run a model, sorted.
	servicesByModel map[string][]string
}

type keyEntry struct {
	hash    [keyHashBytes]byte
	account string
}

// NewIndex indexes a valid Configuration, which must not change afterwards.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{configuration: configuration, servicesByModel: make(map[string][]string)}
	for _, name := range sortedKeys(configuration.Accounts) {
		index.addKeys(configuration.Accounts[name])
	}
	slices.SortFunc(index.keys, func(a, b keyEntry) int { return slices.Compare(a.hash[:], b.hash[:]) })
	for _, name := range sortedKeys(configuration.Services) {
		index.addModels(configuration.Services[name])
	}
	return index
}

func (x *Index) addKeys(account Account) {
	for _, text := range account.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != keyHashBytes {
			continue
		}
		x.keys = append(x.keys, keyEntry{hash: [keyHashBytes]byte(raw), account: account.Name})
	}
}

func (x *Index) addModels(service Service) {
	for _, variant := range service.Runs {
		if !slices.Contains(x.servicesByModel[variant.Model], service.Name) {
			x.servicesByModel[variant.Model] = append(x.servicesByModel[variant.Model], service.Name)
		}
	}
}

// Configuration returns the indexed configuration, which must not be changed.
func (x *Index) Configuration() *Configuration { return x.configuration }

// HashKey returns the digest of an API key in the format of Account.KeyHashes.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// AccountByKey returns the account that owns the API key. Against timing attacks, the search uses only the key's
// digest, and the final comparison takes constant time.
func (x *Index) AccountByKey(key string) (Account, error) {
	digest := sha256.Sum256([]byte(key))
	position, _ := slices.BinarySearchFunc(x.keys, digest, func(entry keyEntry, wanted [keyHashBytes]byte) int {
		return slices.Compare(entry.hash[:], wanted[:])
	})
	if position < len(x.keys) && subtle.ConstantTimeCompare(x.keys[position].hash[:], digest[:]) == 1 {
		return x.configuration.Accounts[x.keys[position].account], nil
	}
	return Account{}, apierror.New(apierror.KindUnauthenticated, "the API key is missing or unknown",
		"send the key of your client account as \"Authorization: Bearer KEY\"")
}

// Class returns the class with the name if the account may use it, or the account's default class if name is empty.
func (x *Index) Class(account Account, name string) (Class, error) {
	if name == "" && len(account.Classes) > 0 {
		name = account.Classes[0]
	}
	class, exists := x.configuration.Classes[name]
	if !exists {
		return Class{}, apierror.Newf(apierror.KindBadRequest, "use one of the classes of your account",
			"the priority class %q does not exist", truncate(name))
	}
	if !slices.Contains(account.Classes, name) {
		return Class{}, apierror.Newf(apierror.KindForbidden, "use one of the classes of your account",
			"account %s may not use priority class %s", account.Name, name)
	}
	return class, nil
}

// Resolution is the result of resolving a model string.
type Resolution struct {
	Service Service
	// Variants are the declared variants that may serve the request, most preferred first. A variant
	// without a version leaves the choice of the version to the target.
	Variants []Variant
}

// Resolve finds the service that runs the model named by a client's model string. If several do, serviceName
// selects one; if it is empty, the first by name is used.
func (x *Index) Resolve(model, serviceName string) (Resolution, error) {
	wanted, err := ParseVariant(model)
	if err != nil {
		return Resolution{}, err
	}
	for _, name := range x.servicesByModel[wanted.Model] {
		if serviceName != "" && name != serviceName {
			continue
		}
		service := x.configuration.Services[name]
		if variants := matchingVariants(service.Runs, wanted); len(variants) > 0 {
			return Resolution{Service: service, Variants: variants}, nil
		}
	}
	return Resolution{}, apierror.Newf(apierror.KindUnknownModel,
		"name a model that a service runs; GET /v1/models lists them", "no service runs the model %q", truncate(model))
}

// matchingVariants returns the declared variants that satisfy wanted, without duplicates. Where a declared variant
// has no version, it gets the wanted one.
func matchingVariants(declared []Variant, wanted Variant) []Variant {
	var found []Variant
	for _, variant := range declared {
		if !satisfies(variant, wanted) {
			continue
		}
		if variant.Version == "" {
			variant.Version = wanted.Version
		}
		if !slices.Contains(found, variant) {
			found = append(found, variant)
		}
	}
	return found
}

// CanRun reports whether the service declares the variant in Runs.
func (s Service) CanRun(variant Variant) bool {
	return slices.ContainsFunc(s.Runs, func(declared Variant) bool { return satisfies(declared, variant) })
}

// Service returns the service with the name.
func (x *Index) Service(name string) (Service, error) {
	service, exists := x.configuration.Services[name]
	if !exists {
		return Service{}, apierror.Newf(apierror.KindNotFound, "name a declared service",
			"the service %q does not exist", truncate(name))
	}
	return service, nil
}

// Models returns the model strings of all variants that services run, sorted and without duplicates.
func (x *Index) Models() []string {
	names := make(map[string]bool)
	for _, service := range x.configuration.Services {
		for _, variant := range service.Runs {
			names[variant.String()] = true
		}
	}
	return sortedKeys(names)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
