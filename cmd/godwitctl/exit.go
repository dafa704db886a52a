package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// The exit codes, which scripts rely on.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitNotAllowed     = 3
	exitUnavailable    = 4
	exitOutcomeUnknown = 5
	exitConflict       = 6
	exitPartial        = 7
	exitNotFound       = 8
)

// exitCodeHelp is the part of the help text that explains the exit codes.
const exitCodeHelp = `Exit codes: 0 done; 1 failed; 2 malformed statement, value or flag; 3 token unknown or not
allowed; 4 server, VM or platform cannot be reached, nothing was changed unless the message says
otherwise; 5 outcome unknown; 6 another change came first; 7 the answer lacks VMs that could not be
reached; 8 no such object.`

// errPartial means that an answer was printed but lacks the data of some VMs.
var errPartial = errors.New("some VMs could not be reached")

func usageError(err error) error {
	return apierror.Wrap(err, apierror.KindBadRequest, "the command line is malformed", "see godwitctl --help")
}

// reportError prints the error, if any, and returns the exit code. For errPartial it prints nothing, because
// printAnswer has already listed the missing VMs.
func reportError(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	if errors.Is(err, errPartial) {
		return exitPartial
	}
	printError(stderr, err)
	return exitCode(apierror.KindOf(err))
}

func printError(stderr io.Writer, err error) {
	var typed *apierror.Error
	if !errors.As(err, &typed) {
		fmt.Fprintf(stderr, "godwitctl: %v\n", err)
		return
	}
	fmt.Fprintf(stderr, "godwitctl: %s", typed.Message)
	if cause := typed.Unwrap(); cause != nil {
		fmt.Fprintf(stderr, ": %v", cause)
	}
	fmt.Fprintf(stderr, "\n  remedy: %s\n", typed.Remedy)
}

func exitCode(kind apierror.Kind) int {
	switch kind {
	case apierror.KindBadRequest, apierror.KindTooLarge, apierror.KindUnknownModel:
		return exitUsage
	case apierror.KindUnauthenticated, apierror.KindForbidden:
		return exitNotAllowed
	case apierror.KindUnavailable, apierror.KindNotRun, apierror.KindOverloaded:
		return exitUnavailable
	case apierror.KindOutcomeUnknown:
		return exitOutcomeUnknown
	case apierror.KindConflict:
		return exitConflict
	case apierror.KindNotFound:
		return exitNotFound
	default:
		return exitFailed
	}
}
