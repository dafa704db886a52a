package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// short returns a deployment that runs quickly.
func short(t *testing.T) Deployment {
	d, err := NewDeployment("prairie", 0)
	require.NoError(t, err)
	d.Duration = 6 * time.Second
	return d
}

func TestSameSeedSameResult(t *testing.T) {
	for _, name := range Policies() {
		first, err := Run(short(t), name, 7)
		require.NoError(t, err)
		second, err := Run(short(t), name, 7)
		require.NoError(t, err)
		require.Equal(t, first, second)
		require.Equal(t, first.Requests, first.Answered+first.Refused+first.Lost+first.CutOff)
		require.Zero(t, first.Inversions)
	}
}

func TestPoliciesGetTheSameWork(t *testing.T) {
	d := short(t)
	require.Equal(t, newWork(&d, 3), newWork(&d, 3))
}

func TestPlotWritesFiles(t *testing.T) {
	results := []Result{{Policy: "godwitcart", StallSeconds: 1}, {Policy: "clairvoyant", StallSeconds: 2}}
	for _, extension := range []string{".svg", ".png"} {
		require.NoError(t, Plot(results, t.TempDir()+"/plot"+extension))
	}
	require.Error(t, Plot(results, t.TempDir()+"/plot.pdf"))
}

// silent is an observer that counts.
type silent struct{ preemptions, endings int }

func (s *silent) token(*job)              {}
func (s *silent) preempted(*job, *engine) { s.preemptions++ }
func (s *silent) ended(*job)              { s.endings++ }

func TestEnginePreemptsTheLowestClass(t *testing.T) {
	c := &clock{}
	watch := &silent{}
	model := defaultEngine()
	model.memoryTokens = 100
	e := &engine{model: &model, clock: c, watch: watch, cache: newBlockCache(4)}
	low := &job{prompt: 60, output: 10}
	high := &job{prompt: 60, output: 10, progress: progress{priority: 5}}
	e.submit(low)
	e.submit(high)
	c.play(time.Minute, func() bool { return watch.endings > 0 })
	require.Equal(t, 10, high.produced)
	require.Less(t, low.produced, 10)
	require.Equal(t, 1, watch.preemptions)
	c.play(time.Minute, func() bool { return false })
	require.Equal(t, 10, low.produced)
}
