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
	// sharedPrefixes is the number of prompt prefixes that an account uses per class.
	sharedPrefixes = 4
	// capacitySamples is the number of generations that are drawn to estimate the capacity.
	capacitySamples = 20000
	// floodLoad is the load of the flood, as a fraction of the fleet's capacity.
	floodLoad = 0.6
	// floodingAccount is the index of the account that floods; it is also the one with most requests.
	floodingAccount = 0
)

// job is one request. The fields before jobState are the same for every policy.
type job struct {
	id           int
	account      int
	class        int
	service      int
	entryVM      int
	arrival      time.Duration
	promptTokens int
	// outputTokens is the number of tokens that the generation will produce.
	outputTokens int
	// callDuration is the processing time of a call of a plain service.
	callDuration time.Duration
	prefixHashes []uint64

	jobState
}

// accountModel is one client account.
type accountModel struct {
	name string
	// requestWeight is the weight of the account in the distribution of requests, lengthFactor a factor on its
	// output lengths, and queueWeight its share in fair queueing.
	requestWeight float64
	lengthFactor  float64
	queueWeight   int
}

// workload is the set of jobs that arrive in a run, sorted by arrival, and the accounts that send them.
type workload struct {
	accounts []accountModel
	jobs     []*job
	// capacity is the estimated capacity of the whole fleet, in output tokens per second.
	capacity float64
}

// generator generates the workload of a deployment from a seed.
type generator struct {
	deployment  *Deployment
	random      *rand.Rand
	accounts    []accountModel
	totalWeight float64
}

func newWorkload(d *Deployment, seed uint64) *workload {
	g := &generator{deployment: d, random: rand.New(rand.NewPCG(seed, 1))}
	g.drawAccounts()
	w := &workload{accounts: g.accounts}
	requestsPerSecond := 0.0
	w.capacity, requestsPerSecond = g.capacity()
	g.addGenerations(w, requestsPerSecond*d.load)
	g.addFlood(w, requestsPerSecond*g.floodRateFactor())
	g.addLookups(w)
	slices.SortStableFunc(w.jobs, func(a, b *job) int { return int(a.arrival - b.arrival) })
	for i, j := range w.jobs {
		j.id = i
	}
	return w
}

func (g *generator) drawAccounts() {
	for i := range g.deployment.accountCount {
		account := accountModel{
			name:          "account-" + string(rune('a'+i/26)) + string(rune('a'+i%26)),
			requestWeight: 1 / math.Pow(float64(i+1), 0.8),
			lengthFactor:  math.Exp(0.4 * g.random.NormFloat64()),
			queueWeight:   1 + i%3,
		}
		g.accounts = append(g.accounts, account)
		g.totalWeight += account.requestWeight
	}
}

// capacity estimates the output tokens and the requests per second that the fleet can sustain. It uses the mean
// lengths of a sample of generations and assumes that the memory or the batch of every engine is full.
func (g *generator) capacity() (tokens, requests float64) {
	var outputs, prompts, memoryTokenSteps float64
	for range capacitySamples {
		j := g.drawGeneration(0)
		outputs += float64(j.outputTokens)
		prompts += float64(j.promptTokens)
		memoryTokenSteps += float64(j.outputTokens) * (float64(j.promptTokens) + float64(j.outputTokens)/2)
	}
	e := &g.deployment.engine
	batch := min(float64(e.maxBatch), float64(e.memoryTokens)/(memoryTokenSteps/outputs))
	endedPerStep := batch * capacitySamples / outputs
	stepSeconds := e.stepBase.Seconds() + batch*e.stepPerSequence.Seconds() + endedPerStep*prompts/capacitySamples*e.stepPerPrefill.Seconds()
	replicas := 0
	for _, s := range g.deployment.services {
		if !s.isPlain() {
			replicas += s.replicas
		}
	}
	tokens = float64(replicas) * batch / stepSeconds
	return tokens, tokens * capacitySamples / outputs
}

// arrivalFactor returns the factor on the arrival rate of a class at a time. The burst multiplies the rate of all
// classes but the lowest by 2.5. The factor must not exceed 3: arrivals are drawn at three times the base rate and
// accepted with the probability arrivalFactor/3.
func (g *generator) arrivalFactor(at time.Duration, class int) float64 {
	start, end := g.deployment.Duration/6, g.deployment.Duration/6+g.deployment.Duration/12
	if g.deployment.burst && at >= start && at < end && class < len(g.deployment.classes)-1 {
		return 2.5
	}
	return 1
}

// isFlooding reports whether the flood is in progress at the time.
func (d *Deployment) isFlooding(at time.Duration) bool {
	return d.flood && at >= d.Duration*2/5 && at < d.Duration*3/5
}

// floodRateFactor returns the request rate of the flood, as a factor on the request rate that saturates the fleet.
func (g *generator) floodRateFactor() float64 {
	var all, flood float64
	for range capacitySamples {
		all += float64(g.drawGeneration(0).outputTokens)
		j := g.drawGeneration(0)
		g.convertToFlood(j)
		flood += float64(j.outputTokens)
	}
	return floodLoad * all / flood
}

// convertToFlood changes the job into a request of the flooding account in the lowest class.
func (g *generator) convertToFlood(j *job) {
	j.account = floodingAccount
	j.class = len(g.deployment.classes) - 1
	g.drawLengths(j)
}

// addGenerations adds generations, with Poisson arrivals, of all accounts and classes.
func (g *generator) addGenerations(w *workload, perSecond float64) {
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / (perSecond * 3)
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.deployment.Duration {
			return
		}
		j := g.drawGeneration(arrival)
		draw := g.random.Float64() * 3
		if draw < g.arrivalFactor(arrival, j.class) {
			w.jobs = append(w.jobs, j)
		}
	}
}

// addFlood adds the requests of the flood, if the deployment has one.
func (g *generator) addFlood(w *workload, perSecond float64) {
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / perSecond
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.deployment.Duration {
			return
		}
		if g.deployment.isFlooding(arrival) {
			j := g.drawGeneration(arrival)
			g.convertToFlood(j)
			w.jobs = append(w.jobs, j)
		}
	}
}

// drawGeneration draws one generation that arrives at the time.
func (g *generator) drawGeneration(arrival time.Duration) *job {
	j := &job{arrival: arrival, entryVM: g.random.IntN(g.deployment.entryVMCount)}
	j.account = g.drawAccount()
	j.class = g.drawClass()
	engines := 0
	for _, s := range g.deployment.services {
		if !s.isPlain() {
			engines++
		}
	}
	j.service = g.random.IntN(engines)
	g.drawLengths(j)
	return j
}

// drawLengths draws the prompt and output lengths for the account and class of the job, and the prefix hashes.
func (g *generator) drawLengths(j *job) {
	c := &g.deployment.classes[j.class]
	account := &g.accounts[j.account]
	j.outputTokens = int(min(max(c.medianOutputTokens*account.lengthFactor*math.Exp(c.sigma*g.random.NormFloat64()), 1), maxOutputTokens))
	j.promptTokens = int(min(max(c.medianPromptTokens*math.Exp(0.7*g.random.NormFloat64()), 8), maxPromptTokens))
	j.prefixHashes = g.drawPrefixHashes(j)
}

// drawPrefixHashes returns the hashes of the prompt's blocks. The first half of the blocks comes from one of the
// shared prefixes of the account and class; the rest is unique to the prompt.
func (g *generator) drawPrefixHashes(j *job) []uint64 {
	blocks := j.promptTokens / blockTokens
	prefix := uint64(j.account*1000+j.class*100+g.random.IntN(sharedPrefixes)) + 1
	hashes := make([]uint64, blocks)
	source := rand.NewPCG(prefix, uint64(j.service))
	for i := range hashes {
		if i == (blocks+1)/2 {
			source = rand.NewPCG(g.random.Uint64(), prefix)
		}
		hashes[i] = source.Uint64()
	}
	return hashes
}

func (g *generator) drawAccount() int {
	point := g.random.Float64() * g.totalWeight
	for i := range g.accounts {
		point -= g.accounts[i].requestWeight
		if point < 0 {
			return i
		}
	}
	return len(g.accounts) - 1
}

func (g *generator) drawClass() int {
	point := g.random.Float64()
	for i := range g.deployment.classes {
		point -= g.deployment.classes[i].share
		if point < 0 {
			return i
		}
	}
	return len(g.deployment.classes) - 1
}

// addLookups adds the calls of the plain service. They belong to the highest class.
func (g *generator) addLookups(w *workload) {
	service := len(g.deployment.services) - 1
	model := &g.deployment.services[service]
	for at := 0.0; ; {
		at += g.random.ExpFloat64() / (g.deployment.lookupsPerSecond * 3)
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= g.deployment.Duration {
			return
		}
		if g.random.Float64()*3 >= g.arrivalFactor(arrival, 0) {
			continue
		}
		call := time.Duration(float64(model.meanCallDuration) * math.Exp(0.4*g.random.NormFloat64()-0.08))
		w.jobs = append(w.jobs, &job{
			arrival: arrival, entryVM: g.random.IntN(g.deployment.entryVMCount), account: g.drawAccount(),
			service: service, callDuration: call, promptTokens: 1,
		})
	}
}
