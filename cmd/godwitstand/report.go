package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// runDirectory returns the directory for a run's logs, a new one where none is named.
func runDirectory(named string) (string, error) {
	if named == "" {
		directory, err := os.MkdirTemp("", "godwitcart-run-")
		return directory, errors.Wrap(err, "make a directory for logs")
	}
	if err := os.MkdirAll(named, 0o755); err != nil {
		return "", errors.Wrap(err, "make the --out directory")
	}
	entries, err := os.ReadDir(named)
	if err != nil {
		return "", errors.Wrap(err, "read the --out directory")
	}
	if len(entries) > 0 {
		// The journal of an earlier run would be judged with this one's.
		return "", errors.Newf("the --out directory %s is not empty; name another", named)
	}
	return named, nil
}

// finish prints the report of a run as one JSON line and fails when a promise was violated. The logs of a run that
// is clean are removed unless their directory was named.
func finish(report any, clean bool, named, directory string) error {
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return errors.Wrap(err, "print the report")
	}
	if !clean {
		return errors.Newf("a promise was violated; logs are in %s", directory)
	}
	if named == "" {
		return errors.Wrap(os.RemoveAll(directory), "remove the logs")
	}
	return nil
}
