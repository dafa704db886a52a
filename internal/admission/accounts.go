package admission

import (
	"hash/fnv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/apierror"
)

const (
	accountShardCount = 16
	// requestRateWindow is the time over which an account's request rate is averaged.
	requestRateWindow = 5 * time.Second
	// burstSeconds is the burst of an account's rate limit, in seconds' worth of the rate.
	burstSeconds = 1
	// shardCleanupThreshold is the number of accounts in a shard at which the idle ones are dropped.
	shardCleanupThreshold = 256
)

// Usage is one account's usage of one entry VM.
type Usage struct {
	Account           string
	InProgress        int
	RequestsPerSecond float64
}

// account is the usage of one client account on this VM, and the usage that other VMs reported.
type account struct {
	inProgress int
	rate       requestRateAverage
	limiter    *rate.Limiter
	// lastReported is the usage that this VM last reported to its peers, which they rely on.
	lastReported Usage
	// reachableUsage and unreachableUsage are the sums of the last reports of reachable and unreachable VMs.
	reachableUsage   Usage
	unreachableUsage Usage
}

// allowedConcurrency returns this VM's part of the account's concurrency limit.
func (a *account) allowedConcurrency(limit int, p *peers) int {
	others := a.reachableUsage.InProgress + max(a.unreachableUsage.InProgress, int(p.unreachableShare(float64(limit))))
	return localConcurrency(limit, min(a.lastReported.InProgress, a.inProgress), others, p.vmCount())
}

// allowedRequestRate returns this VM's part of the account's rate limit, in requests per second.
func (a *account) allowedRequestRate(limit float64, p *peers) float64 {
	others := a.reachableUsage.RequestsPerSecond + max(a.unreachableUsage.RequestsPerSecond, p.unreachableShare(limit))
	return localShare(limit, a.lastReported.RequestsPerSecond, others, p.vmCount())
}

// requestRateAverage is a moving average of an account's requests per second.
type requestRateAverage struct {
	perSecond       float64
	pendingRequests int
	windowStart     time.Time
}

func (r *requestRateAverage) addRequest(now time.Time) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	r.pendingRequests++
	r.update(now)
}

// update adds the requests since windowStart to the average and starts a new interval, once a second has passed.
func (r *requestRateAverage) update(now time.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < time.Second || r.windowStart.IsZero() {
		return
	}
	weight := min(elapsed.Seconds()/requestRateWindow.Seconds(), 1)
	r.perSecond += weight * (float64(r.pendingRequests)/elapsed.Seconds() - r.perSecond)
	r.pendingRequests = 0
	r.windowStart = now
}

// accounts holds all client accounts in shards, each guarded by its own lock.
type accounts struct {
	shards [accountShardCount]accountShard
	peers  peers
}

type accountShard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

func (a *accounts) shard(name string) *accountShard {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return &a.shards[hash.Sum32()%accountShardCount]
}

// getOrCreate returns the account, creating it on first use. The caller holds the lock.
func (s *accountShard) getOrCreate(name string) *account {
	acct := s.accounts[name]
	if acct == nil {
		s.dropIdle()
		acct = &account{}
		if s.accounts == nil {
			s.accounts = make(map[string]*account)
		}
		s.accounts[name] = acct
	}
	return acct
}

func (s *accountShard) dropIdle() {
	if len(s.accounts) < shardCleanupThreshold {
		return
	}
	for name, a := range s.accounts {
		if a.isIdle() {
			delete(s.accounts, name)
		}
	}
}

// isIdle reports whether the account has the same state as a new one.
func (a *account) isIdle() bool {
	requestsPerSecond := a.reachableUsage.RequestsPerSecond + a.unreachableUsage.RequestsPerSecond + a.lastReported.RequestsPerSecond
	return a.inProgress+a.reachableUsage.InProgress+a.unreachableUsage.InProgress == 0 && requestsPerSecond == 0
}

// startRequest counts a request in progress, or returns false if the account is at its concurrency limit.
func (a *accounts) startRequest(ticket *Ticket) bool {
	s := a.shard(ticket.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	acct := s.getOrCreate(ticket.Account)
	limit := ticket.Limits.Concurrency
	if limit > 0 {
		if acct.inProgress >= acct.allowedConcurrency(limit, &a.peers) {
			return false
		}
	}
	acct.inProgress++
	return true
}

func (a *accounts) endRequest(name string) {
	s := a.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	acct := s.getOrCreate(name)
	acct.inProgress = max(acct.inProgress-1, 0)
}

// takeRequest takes one request from this VM's part of the account's rate limit. If none is left, it returns a
// rate_limited error that tells when the next one is allowed.
func (a *accounts) takeRequest(ticket *Ticket, now time.Time) error {
	s := a.shard(ticket.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	acct := s.getOrCreate(ticket.Account)
	limit := ticket.Limits.RequestsPerSecond
	if limit <= 0 {
		acct.rate.addRequest(now)
		return nil
	}
	acct.setRate(acct.allowedRequestRate(limit, &a.peers), now)
	reservation := acct.limiter.ReserveN(now, 1)
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return apierror.Newf(apierror.KindRateLimited, "come back after the time given; the request did not run",
			"account %q sends more than its %g requests a second", ticket.Account, limit).WithRetryAfter(max(wait, minRetryAfter))
	}
	acct.rate.addRequest(now)
	return nil
}

func (a *account) setRate(perSecond float64, now time.Time) {
	burst := max(int(perSecond*burstSeconds), 1)
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	a.limiter.SetLimitAt(now, rate.Limit(perSecond))
	a.limiter.SetBurstAt(now, burst)
}

// reportUsages returns the usage of this VM for each account that has any, and records the usage of all accounts as
// reported.
func (a *accounts) reportUsages(now time.Time) []Usage {
	var usages []Usage
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, acct := range s.accounts {
			acct.rate.update(now)
			acct.lastReported = Usage{Account: name, InProgress: acct.inProgress, RequestsPerSecond: acct.rate.perSecond}
			if acct.lastReported.InProgress > 0 || acct.lastReported.RequestsPerSecond > 0 {
				usages = append(usages, acct.lastReported)
			}
		}
		s.mu.Unlock()
	}
	return usages
}

// adjustPeerUsage adds (sign 1) or subtracts (sign -1) usage that a peer reported for the account.
func (a *accounts) adjustPeerUsage(usage Usage, unreachable bool, sign int) {
	s := a.shard(usage.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	acct := s.getOrCreate(usage.Account)
	total := &acct.reachableUsage
	if unreachable {
		total = &acct.unreachableUsage
	}
	total.InProgress = max(total.InProgress+sign*usage.InProgress, 0)
	total.RequestsPerSecond = max(total.RequestsPerSecond+float64(sign)*usage.RequestsPerSecond, 0)
}
