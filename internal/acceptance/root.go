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

// rootKey is the key of the root object, which alone determines which version is accepted.
const rootKey = "config/root"

// maxRecent is the number of recent acceptances that the root object stores.
const maxRecent = 64

// Acceptance describes an accepted version: who changed what, and when.
type Acceptance struct {
	Version uint64 `json:"version"`
	// Proposal is the id of the proposal. The proposer uses it to identify its own write.
	Proposal string    `json:"proposal"`
	Operator string    `json:"operator"`
	VM       string    `json:"vm"`
	At       time.Time `json:"at"`
	// Summary is the operator's command.
	Summary string `json:"summary"`
	// Changes is the difference from the previous version, truncated to maxRecordedChanges.
	Changes []policy.Change `json:"changes,omitempty"`
}

// root is the value of the root object.
type root struct {
	Configuration *policy.Configuration `json:"configuration"`
	// Latest is the acceptance of Configuration.
	Latest Acceptance `json:"latest"`
	// Recent lists the latest acceptances without their changes, newest last.
	Recent []Acceptance `json:"recent"`
	// Settled counts the writes that did not change the configuration but fenced an abandoned proposal, so that it
	// could no longer be accepted.
	Settled uint64 `json:"settled,omitempty"`
}

func decodeRoot(value []byte) (*root, error) {
	var decoded root
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrap(err, "decode the root object of the configuration")
	}
	if decoded.Configuration == nil || decoded.Configuration.Version == 0 {
		return nil, errors.New("the root object of the configuration holds no version")
	}
	return &decoded, nil
}

func (r *root) encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		// Unreachable: a valid Configuration contains only encodable values.
		panic(err)
	}
	return text
}

func (r *root) version() uint64 { return r.Configuration.Version }

// next returns the root that replaces r when a configuration is accepted.
func (r *root) next(configuration *policy.Configuration, acceptance Acceptance) *root {
	brief := acceptance
	brief.Changes = nil
	recent := append(slices.Clone(r.Recent), brief)
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	return &root{Configuration: configuration, Latest: acceptance, Recent: recent, Settled: r.Settled}
}

// hasAccepted reports whether the proposal is among the recent acceptances.
func (r *root) hasAccepted(id string) bool {
	return slices.ContainsFunc(r.Recent, func(a Acceptance) bool { return a.Proposal == id })
}

// recentProposals returns the proposal ids of the recent acceptances.
func (r *root) recentProposals() []string {
	ids := make([]string, 0, len(r.Recent))
	for _, acceptance := range r.Recent {
		ids = append(ids, acceptance.Proposal)
	}
	return ids
}

// readRoot returns the root object and the revision that a conditional update of it must expect. The root is nil,
// without an error, if it does not exist yet. The timeout is platformReadTimeout.
func readRoot(ctx context.Context, store object.Store) (*root, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	stored, err := store.Get(ctx, rootKey)
	if object.IsNotFound(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	decoded, err := decodeRoot(stored.Value)
	if err != nil {
		return nil, 0, apierror.Wrap(err, apierror.KindInternal, "the stored configuration cannot be read",
			"restore the object "+rootKey+" on the platform")
	}
	return decoded, stored.Version, nil
}
