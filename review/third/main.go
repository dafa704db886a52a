// Command third plays the script cases of the third review.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(){
	"silent-channels": silentCase,
	"lost-machines":   loadsCase,
	"crowded-engines": crowdedCase,
	"leaving-engine":  leavingCase,
	"slow-readers":    slowCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE")
		os.Exit(2)
	}
	cases[os.Args[1]]()
}
