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

// batchOf returns generations that overfill a small engine, with lengths that the stand-in takes
// from the prompt.
func batchOf(count int) []*job {
	jobs := make([]*job, count)
	for i := range jobs {
		jobs[i] = &job{id: i, prompt: 64, output: 20 + (i*37)%300}
		jobs[i].priority = i % 3
	}
	return jobs
}

// standInRun plays the jobs against a stand-in engine over HTTP and returns the gaps between
// tokens, the preemptions and the time in all.
func standInRun(b *testing.B, jobs []*job, memory int) (histogram, uint64, time.Duration) {
	e := standin.New(standin.Options{Name: "e", Loaded: []enginewire.Loaded{{Model: "m"}}, MemoryTokens: memory})
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
			head := fmt.Sprintf("len=%d job %d ", j.output, j.id)
			prompt := head + strings.Repeat("x", (j.prompt-1)*4-len(head))
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

// gapWatch records the gaps between tokens of the model.
type gapWatch struct {
	clock *clock
	gaps  histogram
	left  int
}

func (w *gapWatch) token(j *job) {
	if j.produced > 1 {
		w.gaps.add(w.clock.now - j.lastToken)
	}
	j.lastToken = w.clock.now
}

func (w *gapWatch) preempted(*job, *engine) {}
func (w *gapWatch) ended(*job)              { w.left-- }

// BenchmarkModelAgainstStandIn compares the model with the stand-in engine on the same work.
func BenchmarkModelAgainstStandIn(b *testing.B) {
	const count, memory = 60, 4096
	model := defaultEngine()
	model.memoryTokens = memory
	c := &clock{}
	watch := &gapWatch{clock: c, gaps: newHistogram(), left: count}
	modelled := &engine{model: &model, clock: c, watch: watch, cache: newBlockCache(model.cacheBlocks)}
	for _, j := range batchOf(count) {
		modelled.submit(j)
	}
	c.play(time.Hour, func() bool { return watch.left == 0 })
	gaps, preemptions, took := standInRun(b, batchOf(count), memory)
	for b.Loop() {
	}
	b.ReportMetric(c.now.Seconds(), "model-s")
	b.ReportMetric(took.Seconds(), "standin-s")
	b.ReportMetric(float64(modelled.preemptions), "model-preemptions")
	b.ReportMetric(float64(preemptions), "standin-preemptions")
	b.ReportMetric(watch.gaps.milliseconds(50), "model-gap-p50-ms")
	b.ReportMetric(gaps.milliseconds(50), "standin-gap-p50-ms")
	b.ReportMetric(watch.gaps.milliseconds(99), "model-gap-p99-ms")
	b.ReportMetric(gaps.milliseconds(99), "standin-gap-p99-ms")
}
