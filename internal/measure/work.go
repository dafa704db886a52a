package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// blockTokens is the number of tokens of one block of the prefix cache.
	blockTokens = 64
	// sharedPrompts is the number of prompt beginnings that an account uses.
	sharedPrompts = 4
	// capacitySamples is the number of draws from which capacity is worked out.
	capacitySamples = 20000
	// floodLoad is the load of the flood, as a share of the fleet's capacity.
	floodLoad = 0.6
	// floodingAccount is the biggest account.
	floodingAccount = 0
)

// job is one request. The fields up to hashes are the work, which is the same for every policy.
type job struct {
	id      int
	account int
	class   int
	service int
	entry   int
	arrival time.Duration
	prompt  int
	// output is the number of tokens that the generation will have.
	output int
	// call is the time that a call of a plain service takes.
	call   time.Duration
	hashes []uint64

	progress
}

// accountModel is one client account.
type accountModel struct {
	name string
	// weight is its part of the requests, scale its factor on output lengths, share its weight in queues.
	weight float64
	scale  float64
	share  int
}

// work is everything that arrives in a run.
type work struct {
	accounts []accountModel
	jobs     []*job
	// capacity is the number of output tokens per second of the whole fleet.
	capacity float64
}

// generator draws the work of a deployment.
type generator struct {
	d        *Deployment
	random   *rand.Rand
	accounts []accountModel
	total    float64
}

func newWork(d *Deployment, seed uint64) *work {
	g := &generator{d: d, random: rand.New(rand.NewPCG(seed, 1))}
	g.makeAccounts()
	w := &work{accounts: g.accounts}
	perSecond := 0.0
	w.capacity, perSecond = g.capacity()
	g.generations(w, perSecond*d.load)
	g.flood(w, perSecond*g.floodRate())
	g.lookups(w)
	slices.SortStableFunc(w.jobs, func(a, b *job) int { return int(a.arrival - b.arrival) })
	for i, j := range w.jobs {
		j.id = i
	}
	return w
}

func (g *generator) makeAccounts() {
	for i := range g.d.accounts {
		account := accountModel{
			name:   "account-" + string(rune('a'+i/26)) + string(rune('a'+i%26)),
			weight: 1 / math.Pow(float64(i+1), 0.8),
			scale:  math.Exp(0.4 * g.random.NormFloat64()),
			share:  1 + i%3,
		}
		g.accounts = append(g.accounts, account)
		g.total += account.weight
	}
}

// capacity returns the output tokens and the requests per second that the fleet can sustain with
// full memory, from the means of many draws.
func (g *generator) capacity() (tokens, requests float64) {
	var outputs, prompts, held float64
	for range capacitySamples {
		j := g.generation(0)
		outputs += float64(j.output)
		prompts += float64(j.prompt)
		held += float64(j.output) * (float64(j.prompt) + float64(j.output)/2)
	}
	e := &g.d.engine
	batch := min(float64(e.maxBatch), float64(e.memoryTokens)/(held/outputs))
	ended := batch * capacitySamples / outputs
	step := e.stepBase.Seconds() + batch*e.stepPerSequence.Seconds() + ended*prompts/capacitySamples*e.stepPerPrefill.Seconds()
	replicas := 0
	for _, s := range g.d.services {
		if !s.plain() {
			replicas += s.replicas
		}
	}
	tokens = float64(replicas) * batch / step
	return tokens, tokens * capacitySamples / outputs
}

// intensity returns the factor on the rate of arrivals at a time: the burst at opening triples
// the paid classes for a while.
func (g *generator) intensity(at time.Duration, class int) float64 {
	start, end := g.d.Duration/6, g.d.Duration/6+g.d.Duration/12
	if g.d.burst && at >= start && at < end && class < len(g.d.classes)-1 {
		return 2.5
	}
	return 1
}

// flooding reports whether the big account floods.
func (d *Deployment) flooding(at time.Duration) bool {
	return d.flood && at >= d.Duration*2/5 && at < d.Duration*3/5
}

// floodRate returns the requests per second of the flood, as a factor on those that fill the fleet.
func (g *generator) floodRate() float64 {
	var all, flood float64
	for range capacitySamples {
		all += float64(g.generation(0).output)
		j := g.generation(0)
		g.makeFlood(j)
		flood += float64(j.output)
	}
	return floodLoad * all / flood
}

// makeFlood turns the job into one of the big account's lowest class.
func (g *generator) makeFlood(j *job) {
	j.account = floodingAccount
	j.class = len(g.d.classes) - 1
	g.shape(j)
}

func (g *generator) generations(w *work, perSecond float64) {
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / (perSecond * 3)
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.d.Duration {
			return
		}
		j := g.generation(arrival)
		pass := g.random.Float64() * 3
		if pass < g.intensity(arrival, j.class) {
			w.jobs = append(w.jobs, j)
		}
	}
}

// flood draws the work of the flood.
func (g *generator) flood(w *work, perSecond float64) {
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / perSecond
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.d.Duration {
			return
		}
		if g.d.flooding(arrival) {
			j := g.generation(arrival)
			g.makeFlood(j)
			w.jobs = append(w.jobs, j)
		}
	}
}

// generation draws one generation.
func (g *generator) generation(arrival time.Duration) *job {
	j := &job{arrival: arrival, entry: g.random.IntN(g.d.entries)}
	j.account = g.drawAccount()
	j.class = g.drawClass()
	engines := 0
	for _, s := range g.d.services {
		if !s.plain() {
			engines++
		}
	}
	j.service = g.random.IntN(engines)
	g.shape(j)
	return j
}

// shape draws the prompt and the output of the job's account and class.
func (g *generator) shape(j *job) {
	c := &g.d.classes[j.class]
	account := &g.accounts[j.account]
	j.output = int(min(max(c.medianTokens*account.scale*math.Exp(c.sigma*g.random.NormFloat64()), 1), maxOutput))
	j.prompt = int(min(max(c.medianPrompt*math.Exp(0.7*g.random.NormFloat64()), 8), maxPrompt))
	j.hashes = g.hashes(j)
}

// hashes returns the hashes of the prompt's blocks; the first half of the blocks is shared.
func (g *generator) hashes(j *job) []uint64 {
	blocks := j.prompt / blockTokens
	beginning := uint64(j.account*1000+j.class*100+g.random.IntN(sharedPrompts)) + 1
	hashes := make([]uint64, blocks)
	state := rand.NewPCG(beginning, uint64(j.service))
	for i := range hashes {
		if i == (blocks+1)/2 {
			state = rand.NewPCG(g.random.Uint64(), beginning)
		}
		hashes[i] = state.Uint64()
	}
	return hashes
}

func (g *generator) drawAccount() int {
	at := g.random.Float64() * g.total
	for i := range g.accounts {
		at -= g.accounts[i].weight
		if at < 0 {
			return i
		}
	}
	return len(g.accounts) - 1
}

func (g *generator) drawClass() int {
	at := g.random.Float64()
	for i := range g.d.classes {
		at -= g.d.classes[i].share
		if at < 0 {
			return i
		}
	}
	return len(g.d.classes) - 1
}

// lookups draws the calls of the plain service, of the highest class.
func (g *generator) lookups(w *work) {
	service := len(g.d.services) - 1
	model := &g.d.services[service]
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / (g.d.lookupsPerSecond * 3)
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.d.Duration {
			return
		}
		if g.random.Float64()*3 >= g.intensity(arrival, 0) {
			continue
		}
		call := time.Duration(float64(model.meanCall) * math.Exp(0.4*g.random.NormFloat64()-0.08))
		w.jobs = append(w.jobs, &job{
			arrival: arrival, entry: g.random.IntN(g.d.entries), account: g.drawAccount(),
			service: service, call: call, prompt: 1,
		})
	}
}
