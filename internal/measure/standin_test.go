package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	standin "godwitcart/internal/stand/engine"
	"godwitcart/internal/wire/enginewire"
)

// overloadingJobs returns generations that exceed the memory of a small engine.
func overloadingJobs(count int) []*job {
	jobs := make([]*job, count)
	for i := range jobs {
		jobs[i] = &job{id: i, promptTokens: 64, outputTokens: 20 + (i*37)%300}
		jobs[i].priority = i % 3
	}
	return jobs
}

// runStandIn runs the jobs on a stand-in engine over HTTP and returns the times between tokens, the number of
// preemptions and the total time. The stand-in engine reads the output length from the prompt ("len=").
func runStandIn(b *testing.B, jobs []*job, memory int) (histogram, uint64, time.Duration) {
	e := standin.New(standin.Options{Name: "e", Loaded: []enginewire.ModelVariant{{Model: "m"}}, MemoryTokens: memory})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go e.Run(ctx)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	gaps := newHistogram()
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for _, j := range jobs {
		group.Go(func() {
			head := fmt.Sprintf("len=%d job %d ", j.outputTokens, j.id)
			prompt := head + strings.Repeat("x", (j.promptTokens-1)*4-len(head))
			body, _ := json.Marshal(enginewire.GenerationRequest{AttemptID: fmt.Sprint(j.id), Model: "m", Prompt: prompt, Priority: j.priority})
			response, err := http.Post(server.URL+enginewire.PathCompletions, "application/json", bytes.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			defer response.Body.Close()
			var last time.Time
			for lines := bufio.NewScanner(response.Body); lines.Scan(); {
				if !strings.Contains(lines.Text(), `"text"`) {
					continue
				}
				now := time.Now()
				if !last.IsZero() {
					mu.Lock()
					gaps.add(now.Sub(last))
					mu.Unlock()
				}
				last = now
			}
		})
	}
	group.Wait()
	return gaps, e.Load().Preemptions, time.Since(began)
}

// gapRecorder records the times between tokens in the engine model.
type gapRecorder struct {
	clock      *clock
	gaps       histogram
	unfinished int
}

func (r *gapRecorder) onToken(j *job) {
	if j.producedTokens > 1 {
		r.gaps.add(r.clock.now - j.lastTokenAt)
	}
	j.lastTokenAt = r.clock.now
}

func (r *gapRecorder) onPreempted(*job, *engine) {}
func (r *gapRecorder) onEnded(*job)              { r.unfinished-- }

// BenchmarkModelAgainstStandIn reports the results of the engine model and of the stand-in engine for the same jobs,
// to show how well the model matches.
func BenchmarkModelAgainstStandIn(b *testing.B) {
	const count, memory = 60, 4096
	model := defaultEngine()
	model.memoryTokens = memory
	c := &clock{}
	recorder := &gapRecorder{clock: c, gaps: newHistogram(), unfinished: count}
	engine := &engine{model: &model, clock: c, observer: recorder, cache: newBlockCache(model.cacheBlocks)}
	for _, j := range overloadingJobs(count) {
		engine.submit(j)
	}
	c.run(time.Hour, func() bool { return recorder.unfinished == 0 })
	gaps, preemptions, elapsed := runStandIn(b, overloadingJobs(count), memory)
	for b.Loop() {
	}
	b.ReportMetric(c.now.Seconds(), "model-s")
	b.ReportMetric(elapsed.Seconds(), "standin-s")
	b.ReportMetric(float64(engine.preemptions), "model-preemptions")
	b.ReportMetric(float64(preemptions), "standin-preemptions")
	b.ReportMetric(recorder.gaps.milliseconds(50), "model-gap-p50-ms")
	b.ReportMetric(gaps.milliseconds(50), "standin-gap-p50-ms")
	b.ReportMetric(recorder.gaps.milliseconds(99), "model-gap-p99-ms")
	b.ReportMetric(gaps.milliseconds(99), "standin-gap-p99-ms")
}
