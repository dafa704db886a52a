// Package rapidseed fixes the seed of pgregory.net/rapid. Test files import it for its side effect, so
// that every run checks the same cases; the flag -rapid.seed chooses others.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
