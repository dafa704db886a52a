package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// prepareRunDirectory returns the directory for the logs of a run. It creates a temporary one if none is requested.
func prepareRunDirectory(requested string) (string, error) {
	if requested == "" {
		directory, err := os.MkdirTemp("", "godwitcart-run-")
		return directory, errors.Wrap(err, "create a temporary directory for logs")
	}
	if err := os.MkdirAll(requested, 0o755); err != nil {
		return "", errors.Wrap(err, "create the --out directory")
	}
	entries, err := os.ReadDir(requested)
	if err != nil {
		return "", errors.Wrap(err, "read the --out directory")
	}
	if len(entries) > 0 {
		// Entries that an earlier run left in the journal would be checked as entries of this run.
		return "", errors.Newf("the --out directory %s is not empty; name another directory", requested)
	}
	return requested, nil
}

// reportResult prints the report of a run as one JSON line and returns an error when the run is not clean. It removes
// the logs of a clean run, unless their directory was requested.
func reportResult(report any, clean bool, requested, directory string) error {
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return errors.Wrap(err, "print the report")
	}
	if !clean {
		return errors.Newf("a promise was violated; logs are in %s", directory)
	}
	if requested == "" {
		return errors.Wrap(os.RemoveAll(directory), "remove the logs")
	}
	return nil
}
