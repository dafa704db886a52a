package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortDeployment returns a deployment with a short duration, so that tests run quickly.
func shortDeployment(t *testing.T) Deployment {
	d, err := NewDeployment("prairie", 0)
	require.NoError(t, err)
	d.Duration = 6 * time.Second
	return d
}

func TestRunIsDeterministicForASeed(t *testing.T) {
	for _, name := range Policies() {
		first, err := Run(shortDeployment(t), name, 7)
		require.NoError(t, err)
		second, err := Run(shortDeployment(t), name, 7)
		require.NoError(t, err)
		require.Equal(t, first, second)
		require.Equal(t, first.Requests, first.Answered+first.Refused+first.Lost+first.CutOff)
		require.Zero(t, first.PriorityInversions)
	}
}

func TestWorkloadIsDeterministicForASeed(t *testing.T) {
	d := shortDeployment(t)
	require.Equal(t, newWorkload(&d, 3), newWorkload(&d, 3))
}

func TestPlotWritesFiles(t *testing.T) {
	results := []Result{{Policy: "godwitcart", StallSeconds: 1}, {Policy: "clairvoyant", StallSeconds: 2}}
	for _, extension := range []string{".svg", ".png"} {
		require.NoError(t, Plot(results, t.TempDir()+"/plot"+extension))
	}
	require.Error(t, Plot(results, t.TempDir()+"/plot.pdf"))
}

// countingObserver counts preemptions and ended jobs.
type countingObserver struct{ preemptions, endedJobs int }

func (s *countingObserver) onToken(*job)              {}
func (s *countingObserver) onPreempted(*job, *engine) { s.preemptions++ }
func (s *countingObserver) onEnded(*job)              { s.endedJobs++ }

func TestEnginePreemptsTheLowestPriority(t *testing.T) {
	c := &clock{}
	observer := &countingObserver{}
	model := defaultEngine()
	model.memoryTokens = 100
	e := &engine{model: &model, clock: c, observer: observer, cache: newBlockCache(4)}
	low := &job{promptTokens: 60, outputTokens: 10}
	high := &job{promptTokens: 60, outputTokens: 10, jobState: jobState{priority: 5}}
	e.submit(low)
	e.submit(high)
	c.run(time.Minute, func() bool { return observer.endedJobs > 0 })
	require.Equal(t, 10, high.producedTokens)
	require.Less(t, low.producedTokens, 10)
	require.Equal(t, 1, observer.preemptions)
	c.run(time.Minute, func() bool { return false })
	require.Equal(t, 10, low.producedTokens)
}
