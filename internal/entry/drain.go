package entry

import (
	"context"
	"strings"
	"time"

	"godwitcart/internal/forward"
	"godwitcart/internal/pause"
)

// drain waits for the requests in progress and for the load balancer to stop routing callers to this VM, then closes
// the callers' server. It waits for at least minDrainTime and at most the grace period, and returns early if ctx ends.
func (e *Entry) drain(ctx context.Context, callerServer *runningServer) {
	drainStartedAt := time.Now()
	finalAnswers := time.AfterFunc(e.gracePeriod()-forward.FinalAnswerTime, e.forwarder.EndUnanswered)
	defer finalAnswers.Stop()
	for time.Since(drainStartedAt) < e.gracePeriod() {
		if e.activeRequests.Load() == 0 && e.openTunnels() == 0 && time.Since(drainStartedAt) > minDrainTime {
			break
		}
		if !pause.For(ctx, drainPollInterval) {
			return
		}
	}
	e.finishReading(ctx, callerServer, drainStartedAt)
	remaining := e.activeRequests.Load()
	if remaining > 0 {
		e.logger.Warn("grace period expired: aborting the requests in progress", "cut_off", remaining)
	}
	if unanswered := callerServer.listener.Unanswered(); len(unanswered) > 0 {
		e.logger.Warn("connections closed before their answers were written", "requests", strings.Join(unanswered, ","), "in_service", remaining,
			"since_stop_ms", time.Since(drainStartedAt).Milliseconds())
	}
	callerServer.Close()
	e.awaitLeftRuns(ctx)
}

// awaitLeftRuns waits, for up to leaveTime, until the targets of the streams that were cut off know that they are not wanted.
func (e *Entry) awaitLeftRuns(ctx context.Context) {
	end := time.Now().Add(leaveTime)
	for e.activeRequests.Load()+e.forwarder.LeavingRuns() > 0 && time.Now().Before(end) {
		if !pause.For(ctx, drainPollInterval) {
			return
		}
	}
}

// finishReading closes idle connections and waits until the requests that are just being read on the others are answered,
// within the grace period. They do not count as active yet, and http.Server.Shutdown would drop them unanswered.
func (e *Entry) finishReading(ctx context.Context, callerServer *runningServer, drainStartedAt time.Time) {
	callerServer.SetKeepAlivesEnabled(false)
	startedAt := time.Now()
	for e.callerConnections.Load() > 0 && time.Since(drainStartedAt) < e.gracePeriod() {
		if e.activeRequests.Load() == 0 && time.Since(startedAt) > maxReadingTime {
			return
		}
		if !pause.For(ctx, drainPollInterval) {
			return
		}
	}
}
