// Command review-second plays the scripted cases of the second review: it starts the project's daemon as separate
// processes beside stand-ins of the platform's store, replicas and clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds what each case does. A case returns the breaks of its rule that it has seen.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"memory":   playMemory,
	"nocopy":   playNoCopy,
	"restore":  playRestore,
	"twice":    playTwice,
	"unframed": playUnframed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-second:", err)
		return exitCannotRun
	}
	defer w.close()
	w.endEarly()
	w.note("case %s, trouble %t", name, trouble)
	breaks, err := cases[name](w, trouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "review-second:", err)
		return exitCannotRun
	}
	for _, text := range breaks {
		w.note("BREAK %s", text)
	}
	w.note("breaks: %d", len(breaks))
	fmt.Printf("%s: trouble %t, breaks %d\n", name, trouble, len(breaks))
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
