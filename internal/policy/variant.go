package policy

import (
	"fmt"
	"strings"

	"godwitcart/internal/apierror"
)

// String returns the model string of the variant: MODEL[:ADAPTER][@VERSION].
func (v Variant) String() string {
	text := v.Model
	if v.Adapter != "" {
		text += ":" + v.Adapter
	}
	if v.Version != "" {
		text += "@" + v.Version
	}
	return text
}

// ParseVariant parses a model string, MODEL[:ADAPTER][@VERSION]. Invariant: for every variant v that it returns,
// ParseVariant(v.String()) returns v.
func ParseVariant(text string) (Variant, error) {
	rest, version, hasVersion := strings.Cut(text, "@")
	model, adapter, hasAdapter := strings.Cut(rest, ":")
	variant := Variant{Model: model, Adapter: adapter, Version: version}
	malformed := !namePattern.MatchString(model) ||
		hasVersion && !namePattern.MatchString(version) ||
		hasAdapter && !namePattern.MatchString(adapter)
	if malformed {
		return Variant{}, apierror.New(apierror.KindUnknownModel,
			fmt.Sprintf("the model %q is malformed", truncate(text)),
			"write MODEL, MODEL:ADAPTER, MODEL@VERSION or MODEL:ADAPTER@VERSION")
	}
	return variant, nil
}

// maxEchoBytes bounds how much of a client's text an error message repeats.
const maxEchoBytes = 100

func truncate(text string) string {
	if len(text) <= maxEchoBytes {
		return text
	}
	return text[:maxEchoBytes] + "…"
}

// satisfies reports whether the declared variant may serve a request for wanted; an empty version on either side
// matches any version.
func satisfies(declared, wanted Variant) bool {
	if declared.Model != wanted.Model || declared.Adapter != wanted.Adapter {
		return false
	}
	return wanted.Version == "" || declared.Version == "" || declared.Version == wanted.Version
}
