// Command reviewstandin plays the cases of the review: it starts the daemon with the command of the deploy file on loopback
// addresses, with small stand-ins of the platform's store, replicas and clients around it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// cases return what broke the rule; nothing means that it held.
var cases = map[string]func(*world) []string{}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin CASE FOLDER")
		return 2
	}
	r := newRecord(filepath.Join(os.Args[2], "record.txt"))
	var w *world
	defer func() {
		if w != nil {
			w.close()
		}
		if failure := recover(); failure != nil {
			reason, known := failure.(cannotRun)
			if !known {
				panic(failure)
			}
			r.log("the case could not run: %s", reason.reason)
			fmt.Println("could not run:", reason.reason)
			code = 2
		}
	}()
	w = newWorld(r, os.Getenv("TROUBLE") != "0")
	go w.endEarly()
	broken := cases[os.Args[1]](w)
	for _, line := range broken {
		r.log("BROKEN %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	r.log("the rule held")
	fmt.Println("held")
	return 0
}

// endEarly ends all processes when the case is interrupted or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	w.log("the case could not run: it was interrupted or took too long")
	w.close()
	os.Exit(2)
}
