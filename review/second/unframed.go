package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// unframedReplicas is how many of the seven replicas send a share of unframedAnswers of their answers without a length, for
	// unframedTime at a time (`fleetbench kinds` and the site file: share 0.6, x 0.03, 5.5 s).
	unframedReplicas = 4
	unframedAnswers  = 0.03
	unframedTime     = 5500 * time.Millisecond
)

// playUnframed lets some replicas send a few of their answers without a length and without chunks; such an answer ends in order
// with its channel, after the last event.
func playUnframed(w *world, trouble bool) ([]string, error) {
	shared, err := startModels(w, func(_ int, r *replica) { r.events = 10 })
	if err != nil {
		return nil, err
	}
	if err := w.startVMs("a", "127.0.0.21", "127.0.0.22"); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for round := range 10 {
			time.AfterFunc(time.Duration(round)*(unframedTime+500*time.Millisecond), func() {
				w.note("DISRUPTION %d of 7 replicas send %v of their answers without a length for 5.5 s (garble, unframed)", unframedReplicas, unframedAnswers)
				for _, r := range shared.all[:unframedReplicas] {
					r.sendUnframed(unframedAnswers, unframedTime)
				}
			})
		}
	}
	clients := []*client{w.newClient(w.vms[0]), w.newClient(w.vms[1])}
	for i := range 1500 {
		clients[i%2].send(http.MethodPost, "/price-sheet/1", 39*time.Second, map[string]string{
			"X-Model": "m", "X-Token-Usage": "500,40", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,%08x:32", i),
		})
		time.Sleep(40 * time.Millisecond)
	}
	var breaks []string
	for _, c := range clients {
		c.wg.Wait()
		if lost := lostAttempts(c, shared.all); len(lost) > allowedLosses {
			breaks = append(breaks, fmt.Sprintf("%s passed %d requests on to sound replicas, which answered them whole, and broke their channels off: %v", c.to.name, len(lost), lost))
		}
	}
	return breaks, nil
}
