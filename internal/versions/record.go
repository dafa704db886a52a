// Package versions keeps, in the platform's store, which software versions of each service may have begun streams.
//
// What a VM has not seen proves nothing: it may have just started, stood still, or be cut off while targets of another version
// served. So a version is recorded before a resumable stream may begin there, and a caller that cannot say where its stream began
// is served only if the record, read after its request arrived, holds a single version. Invariants: no stream begins at a version
// that the record does not hold; a version leaves the record only after it has been absent from the list for longer than any
// stream lasts.
package versions

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// record is the stored value of one service.
type record struct {
	Service string `json:"service"`
	// Serving are the versions of listed targets, and Departed those that are no longer listed and may still have streams.
	Serving  []string `json:"serving"`
	Departed []string `json:"departed,omitempty"`
	// Incomplete is set while versions that the record does not hold may have streams: the fleet had run before it was created.
	Incomplete bool `json:"incomplete,omitempty"`
}

// errUnreadable marks the error of a record that another writer has made unreadable.
var errUnreadable = errors.New("the record of software versions cannot be read")

func decodeRecord(value []byte) (record, error) {
	var stored record
	if err := json.Unmarshal(value, &stored); err != nil {
		return record{}, errors.Mark(errors.Wrap(err, "decode the record of software versions"), errUnreadable)
	}
	return stored, nil
}

func (r *record) encode() ([]byte, error) {
	slices.Sort(r.Serving)
	slices.Sort(r.Departed)
	return json.Marshal(r)
}

func (r *record) holds(version string) bool { return slices.Contains(r.Serving, version) }

// sole returns the only version that may have begun a stream, and false if there may be several.
func (r *record) sole() (string, bool) {
	held := slices.Concat(r.Serving, r.Departed)
	if r.Incomplete || len(held) != 1 {
		return "", false
	}
	return held[0], true
}

// add records that a version serves, and reports whether that changed the record.
func (r *record) add(version string) bool {
	if r.holds(version) {
		return false
	}
	r.Departed = without(r.Departed, version)
	r.Serving = append(r.Serving, version)
	return true
}

// depart records that a version is no longer listed, and reports whether that changed the record.
func (r *record) depart(version string) bool {
	if !r.holds(version) {
		return false
	}
	r.Serving = without(r.Serving, version)
	r.Departed = append(r.Departed, version)
	return true
}

// forget removes a version that is not listed, and reports whether that changed the record.
func (r *record) forget(version string) bool {
	kept := without(r.Departed, version)
	changed := len(kept) != len(r.Departed)
	r.Departed = kept
	return changed
}

func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}
