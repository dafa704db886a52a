package acceptance

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/policy"
)

// rootKey is the key of the root object, the only authority on what is accepted.
const rootKey = "config/root"

// maxRecent bounds the acceptances that the root object remembers.
const maxRecent = 64

// Acceptance is one accepted version: who changed what, and when.
type Acceptance struct {
	Version uint64 `json:"version"`
	// Proposal is the id by which the proposer recognises its own write.
	Proposal string    `json:"proposal"`
	Operator string    `json:"operator"`
	VM       string    `json:"vm"`
	At       time.Time `json:"at"`
	// Summary is the operator's command.
	Summary string `json:"summary"`
	// Changes is the difference from the version before; of a very large one, its beginning.
	Changes []policy.Change `json:"changes,omitempty"`
}

// root is the value of the root object.
type root struct {
	Configuration *policy.Configuration `json:"configuration"`
	// Latest is the acceptance of Configuration.
	Latest Acceptance `json:"latest"`
	// Recent lists the latest acceptances, newest last and without their changes.
	Recent []Acceptance `json:"recent"`
	// Settled counts the writes that left the configuration as it was, so that an abandoned
	// proposal could no longer be accepted.
	Settled uint64 `json:"settled,omitempty"`
}

func decodeRoot(value []byte) (*root, error) {
	var read root
	if err := json.Unmarshal(value, &read); err != nil {
		return nil, errors.Wrap(err, "decode the root object of the configuration")
	}
	if read.Configuration == nil || read.Configuration.Version == 0 {
		return nil, errors.New("the root object of the configuration holds no version")
	}
	return &read, nil
}

func (r *root) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		// Unreachable: a valid Configuration holds only encodable values.
		panic(err)
	}
	return text
}

func (r *root) version() uint64 { return r.Configuration.Version }

// next returns the root that follows r by accepting a configuration.
func (r *root) next(configuration *policy.Configuration, acceptance Acceptance) *root {
	brief := acceptance
	brief.Changes = nil
	recent := append(slices.Clone(r.Recent), brief)
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	return &root{Configuration: configuration, Latest: acceptance, Recent: recent, Settled: r.Settled}
}

// accepted reports whether r follows from the proposal of the id.
func (r *root) accepted(id string) bool {
	return slices.ContainsFunc(r.Recent, func(a Acceptance) bool { return a.Proposal == id })
}

// proposals returns the ids of the recent acceptances.
func (r *root) proposals() []string {
	ids := make([]string, 0, len(r.Recent))
	for _, acceptance := range r.Recent {
		ids = append(ids, acceptance.Proposal)
	}
	return ids
}

// readRoot reads the root object and the revision to update it at. A root that does not
// exist yet is nil without an error. The read is given up after platformTimeout.
func readRoot(ctx context.Context, store object.Store) (*root, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := store.Get(ctx, rootKey)
	if object.IsNotFound(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	read, err := decodeRoot(held.Value)
	if err != nil {
		return nil, 0, apierror.Wrap(err, apierror.KindInternal, "the stored configuration cannot be read",
			"restore the object "+rootKey+" on the platform")
	}
	return read, held.Version, nil
}
