package admission

import (
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/apierror"
)

const (
	accountShards = 16
	// usageWindow is the time over which an account's rate of requests is averaged.
	usageWindow = 5 * time.Second
	// burstSeconds is how many seconds' worth of its rate an account may use at once.
	burstSeconds = 1
	// maxAccounts bounds the idle accounts that a shard remembers.
	maxAccounts = 256
)

// Usage is one account's use of one entry VM.
type Usage struct {
	Account           string
	InProgress        int
	RequestsPerSecond float64
}

// account is the use of one client account on this VM and what other VMs told of it.
type account struct {
	inProgress int
	rate       requestRate
	limiter    *rate.Limiter
	// told is what this VM told the others last; they count on it.
	told Usage
	// others and cutOff are what VMs within and out of reach told last.
	others Usage
	cutOff Usage
}

// concurrency returns the requests in progress that this VM may hold of the account's limit.
func (a *account) concurrency(limit int, p *peers) int {
	others := a.others.InProgress + max(a.cutOff.InProgress, int(p.evenPart(float64(limit))))
	return localConcurrency(limit, min(a.told.InProgress, a.inProgress), others, p.live())
}

// requestRate returns the requests per second that this VM may take of the account's limit.
func (a *account) requestRate(limit float64, p *peers) float64 {
	others := a.others.RequestsPerSecond + max(a.cutOff.RequestsPerSecond, p.evenPart(limit))
	return localShare(limit, a.told.RequestsPerSecond, others, p.live())
}

// requestRate averages an account's requests per second.
type requestRate struct {
	perSecond float64
	pending   int
	since     time.Time
}

// count notes one request.
func (r *requestRate) count(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.pending++
	r.roll(now)
}

// roll folds a finished second into the average.
func (r *requestRate) roll(now time.Time) {
	elapsed := now.Sub(r.since)
	if elapsed < time.Second || r.since.IsZero() {
		return
	}
	weight := min(elapsed.Seconds()/usageWindow.Seconds(), 1)
	r.perSecond += weight * (float64(r.pending)/elapsed.Seconds() - r.perSecond)
	r.pending = 0
	r.since = now
}

// accounts holds all accounts in shards, each under its own lock.
type accounts struct {
	shards [accountShards]accountShard
	peers  peers
}

type accountShard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

func (a *accounts) shard(name string) *accountShard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return &a.shards[hash.Sum32()%accountShards]
}

// get returns the account, which is made on first use. The caller holds the lock.
func (s *accountShard) get(name string) *account {
	found := s.accounts[name]
	if found == nil {
		s.forgetIdle()
		found = &account{}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		s.accounts[name] = found
	}
	return found
}

func (s *accountShard) forgetIdle() {
	if len(s.accounts) < maxAccounts {
		return
	}
	for name, a := range s.accounts {
		if a.idle() {
			delete(s.accounts, name)
		}
	}
}

// idle reports whether nothing is known that a new account would not have.
func (a *account) idle() bool {
	known := a.others.RequestsPerSecond + a.cutOff.RequestsPerSecond + a.told.RequestsPerSecond
	return a.inProgress+a.others.InProgress+a.cutOff.InProgress == 0 && known == 0
}

// enter counts a request in progress, and returns false when the account is at its limit.
func (a *accounts) enter(ticket *Ticket) bool {
	s := a.shard(ticket.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(ticket.Account)
	limit := ticket.Limits.Concurrency
	if limit > 0 {
		if found.inProgress >= found.concurrency(limit, &a.peers) {
			return false
		}
	}
	found.inProgress++
	return true
}

// leave ends a request in progress.
func (a *accounts) leave(name string) {
	s := a.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(name)
	found.inProgress = max(found.inProgress-1, 0)
}

// allow takes one request from the account's rate, or refuses it.
func (a *accounts) allow(ticket *Ticket, now time.Time) error {
	s := a.shard(ticket.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(ticket.Account)
	limit := ticket.Limits.RequestsPerSecond
	if limit <= 0 {
		found.rate.count(now)
		return nil
	}
	found.setRate(found.requestRate(limit, &a.peers), now)
	reservation := found.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return apierror.Newf(apierror.KindRateLimited, "come back after the time given; the request did not run",
			"account %q sends more than its %g requests a second", ticket.Account, limit).WithRetryAfter(max(wait, minRetryAfter))
	}
	found.rate.count(now)
	return nil
}

// setRate sets the account's rate on this VM.
func (a *account) setRate(perSecond float64, now time.Time) {
	burst := max(int(perSecond*burstSeconds), 1)
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, burst)
}

// usages returns what each account uses on this VM, and remembers that it was told.
func (a *accounts) usages(now time.Time) []Usage {
	var usages []Usage
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, found := range s.accounts {
			found.rate.roll(now)
			found.told = Usage{Account: name, InProgress: found.inProgress, RequestsPerSecond: found.rate.perSecond}
			if found.told.InProgress > 0 || found.told.RequestsPerSecond > 0 {
				usages = append(usages, found.told)
			}
		}
		s.mu.Unlock()
	}
	return usages
}

// adjust adds to what other VMs, within reach or cut off, told of the account's use.
func (a *accounts) adjust(usage Usage, cutOff bool, sign int) {
	s := a.shard(usage.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.get(usage.Account)
	sum := &found.others
	if cutOff {
		sum = &found.cutOff
	}
	sum.InProgress = max(sum.InProgress+sign*usage.InProgress, 0)
	sum.RequestsPerSecond = max(sum.RequestsPerSecond+float64(sign)*usage.RequestsPerSecond, 0)
}
