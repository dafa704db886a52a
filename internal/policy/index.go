package policy

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"

	"godwitcart/internal/apierror"
)

// keyHashBytes is the size of a SHA-256 digest.
const keyHashBytes = sha256.Size

// Index answers lookups in one Configuration. It is immutable and safe for
// concurrent use.
type Index struct {
	configuration *Configuration
	keys          []keyEntry
	byModel       map[string][]string
}

type keyEntry struct {
	hash    [keyHashBytes]byte
	account string
}

// NewIndex indexes a valid Configuration, which must not change afterwards.
func NewIndex(configuration *Configuration) *Index {
	index := &Index{configuration: configuration, byModel: make(map[string][]string)}
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
		if !slices.Contains(x.byModel[variant.Model], service.Name) {
			x.byModel[variant.Model] = append(x.byModel[variant.Model], service.Name)
		}
	}
}

// Configuration returns the indexed configuration, which must not be changed.
func (x *Index) Configuration() *Configuration { return x.configuration }

// HashKey returns the digest of an API key as Account.KeyHashes holds it.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// AccountByKey returns the account that owns the API key. The search depends on the
// key only through its digest, and the digest is compared in constant time.
func (x *Index) AccountByKey(key string) (Account, error) {
	digest := sha256.Sum256([]byte(key))
	at, _ := slices.BinarySearchFunc(x.keys, digest, func(entry keyEntry, wanted [keyHashBytes]byte) int {
		return slices.Compare(entry.hash[:], wanted[:])
	})
	if at < len(x.keys) && subtle.ConstantTimeCompare(x.keys[at].hash[:], digest[:]) == 1 {
		return x.configuration.Accounts[x.keys[at].account], nil
	}
	return Account{}, apierror.New(apierror.KindUnauthenticated, "the API key is missing or unknown",
		"send the key of your client account as \"Authorization: Bearer KEY\"")
}

// Class returns the class named by a request of the account, or the account's default
// class when wanted is empty.
func (x *Index) Class(account Account, wanted string) (Class, error) {
	if wanted == "" && len(account.Classes) > 0 {
		wanted = account.Classes[0]
	}
	class, exists := x.configuration.Classes[wanted]
	if !exists {
		return Class{}, apierror.Newf(apierror.KindBadRequest, "use one of the classes of your account",
			"the priority class %q does not exist", truncate(wanted))
	}
	if !slices.Contains(account.Classes, wanted) {
		return Class{}, apierror.Newf(apierror.KindForbidden, "use one of the classes of your account",
			"account %s may not use priority class %s", account.Name, wanted)
	}
	return class, nil
}

// Resolution is what a model string stands for.
type Resolution struct {
	Service Service
	// Variants are the declared variants that may answer, most preferred first. A variant
	// without a version leaves the version to the target.
	Variants []Variant
}

// Resolve finds the service that runs the model string, as callers send it. When
// several do, serviceName chooses; if it is empty the first by name is taken.
func (x *Index) Resolve(model, serviceName string) (Resolution, error) {
	wanted, err := ParseVariant(model)
	if err != nil {
		return Resolution{}, err
	}
	for _, name := range x.byModel[wanted.Model] {
		if serviceName != "" && name != serviceName {
			continue
		}
		service := x.configuration.Services[name]
		if variants := matching(service.Runs, wanted); len(variants) > 0 {
			return Resolution{Service: service, Variants: variants}, nil
		}
	}
	return Resolution{}, apierror.Newf(apierror.KindUnknownModel,
		"name a model that a service runs; GET /v1/models lists them", "no service runs the model %q", truncate(model))
}

// matching returns the declared variants that serve wanted. A version that the caller
// names replaces a declared "any version".
func matching(declared []Variant, wanted Variant) []Variant {
	var found []Variant
	for _, variant := range declared {
		if !covers(variant, wanted) {
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

// MayRun reports whether the service may run the variant.
func (s Service) MayRun(variant Variant) bool {
	return slices.ContainsFunc(s.Runs, func(declared Variant) bool { return covers(declared, variant) })
}

// Service returns the service of the name.
func (x *Index) Service(name string) (Service, error) {
	service, exists := x.configuration.Services[name]
	if !exists {
		return Service{}, apierror.Newf(apierror.KindNotFound, "name a declared service",
			"the service %q does not exist", truncate(name))
	}
	return service, nil
}

// Models returns the variants that services run as callers name them, sorted, without repeats.
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
