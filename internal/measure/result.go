package measure

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// ClassResult is the outcome of one run for the requests of one class.
type ClassResult struct {
	Class                string  `json:"class"`
	Requests             int     `json:"requests"`
	Answered             int     `json:"answered"`
	Refused              int     `json:"refused"`
	Lost                 int     `json:"lost"`
	OnTimeShare          float64 `json:"on_time_share"`
	StallSeconds         float64 `json:"stall_seconds"`
	StallP99Seconds      float64 `json:"stall_p99_seconds"`
	Preemptions          int     `json:"preemptions"`
	FirstTokenP95Seconds float64 `json:"first_token_p95_seconds"`
	GapP99Milliseconds   float64 `json:"gap_p99_ms"`
}

// Result is the outcome of one run. All times are virtual.
type Result struct {
	Policy                 string  `json:"policy"`
	Deployment             string  `json:"deployment"`
	Seed                   uint64  `json:"seed"`
	OfferedLoad            float64 `json:"offered_load"`
	Requests               int     `json:"requests"`
	Answered               int     `json:"answered"`
	Refused                int     `json:"refused"`
	Lost                   int     `json:"lost"`
	CutOff                 int     `json:"cut_off"`
	OnTimeShare            float64 `json:"on_time_share"`
	GoodputTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	StallSeconds           float64 `json:"stall_seconds"`
	Preemptions            int     `json:"preemptions"`
	PriorityInversions     int     `json:"higher_preempted_while_lower_ran"`
	GapP50Milliseconds     float64 `json:"gap_p50_ms"`
	GapP95Milliseconds     float64 `json:"gap_p95_ms"`
	GapP99Milliseconds     float64 `json:"gap_p99_ms"`
	GapsWithinShare        float64 `json:"gaps_within_41_ms_share"`
	FirstTokenP95Seconds   float64 `json:"first_token_p95_seconds"`
	FirstTokensWithinShare float64 `json:"first_tokens_within_660_ms_share"`
	// FlooderStallSeconds is the total stall of the lowest class of the flooding account during the flood.
	// FloodOthersP99Seconds is the 99th percentile of the stall of that class for all other accounts.
	FlooderStallSeconds        float64       `json:"flood_stall_flooder_seconds"`
	FloodOthersP99Seconds      float64       `json:"flood_stall_others_p99_seconds"`
	LookupIdleP99Milliseconds  float64       `json:"lookup_idle_p99_ms"`
	LookupFloodP99Milliseconds float64       `json:"lookup_flood_p99_ms"`
	Classes                    []ClassResult `json:"classes"`
}

// Policies returns the names of the policies, in the order in which they are compared.
func Policies() []string {
	return []string{"round_robin", "least_loaded", "two_choices", "godwitcart", "clairvoyant"}
}

func newSchedulingPolicy(name string, seed uint64) (schedulingPolicy, error) {
	switch name {
	case "round_robin":
		return &baseline{choose: (*baseline).chooseRoundRobin}, nil
	case "least_loaded":
		return &baseline{choose: (*baseline).chooseLeastLoaded}, nil
	case "two_choices":
		return &baseline{choose: (*baseline).chooseTwoChoices}, nil
	case "godwitcart":
		return &godwitcartPolicy{seed: seed}, nil
	case "clairvoyant":
		return &clairvoyant{}, nil
	default:
		return nil, errors.Newf("unknown policy %q: use one of %v", name, Policies())
	}
}

// Run simulates the workload of the deployment for the seed under the named policy.
func Run(d Deployment, policyName string, seed uint64) (Result, error) {
	policy, err := newSchedulingPolicy(policyName, seed)
	if err != nil {
		return Result{}, err
	}
	stats := newSimulation(&d, seed, policy).run()
	return stats.result(policyName, seed), nil
}

func (s *statistics) result(policyName string, seed uint64) Result {
	r := Result{
		Policy: policyName, Deployment: s.deployment.Name, Seed: seed, OfferedLoad: s.deployment.load, CutOff: s.cutOffJobs,
		PriorityInversions:         s.inversions,
		GapP50Milliseconds:         s.gaps.milliseconds(50),
		GapP95Milliseconds:         s.gaps.milliseconds(95),
		GapP99Milliseconds:         s.gaps.milliseconds(99),
		GapsWithinShare:            ratio(float64(s.gapsWithinBound), float64(s.gapCount)),
		FirstTokenP95Seconds:       s.firstTokens.seconds(95),
		FirstTokensWithinShare:     ratio(float64(s.firstTokensWithinBound), float64(s.firstTokenCount)),
		LookupIdleP99Milliseconds:  s.idleLookups.milliseconds(99),
		LookupFloodP99Milliseconds: s.floodLookups.milliseconds(99),
		FlooderStallSeconds:        round(s.flooderStall.Seconds(), 10),
		FloodOthersP99Seconds:      s.otherStalls.seconds(99),
		GoodputTokensPerSecond:     round(float64(s.onTimeTokens)/s.deployment.Duration.Seconds(), 1),
	}
	onTime := 0
	var totalStall time.Duration
	for i := range s.classes {
		c := &s.classes[i]
		r.Requests += c.requests
		r.Answered += c.answered
		r.Refused += c.refused
		r.Lost += c.lost
		r.Preemptions += c.preemptions
		onTime += c.onTime
		totalStall += c.totalStall
		r.Classes = append(r.Classes, c.result(s.deployment.classes[i].name))
	}
	r.StallSeconds = round(totalStall.Seconds(), 10)
	r.OnTimeShare = ratio(float64(onTime), float64(r.Requests))
	return r
}

func (c *classStatistics) result(name string) ClassResult {
	return ClassResult{
		Class: name, Requests: c.requests, Answered: c.answered, Refused: c.refused, Lost: c.lost,
		OnTimeShare:          ratio(float64(c.onTime), float64(c.requests)),
		StallSeconds:         round(c.totalStall.Seconds(), 10),
		StallP99Seconds:      c.stalls.seconds(99),
		Preemptions:          c.preemptions,
		FirstTokenP95Seconds: c.firstTokens.seconds(95),
		GapP99Milliseconds:   c.gaps.milliseconds(99),
	}
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return round(part/whole, 10000)
}

// round rounds value to a multiple of 1/steps.
func round(value, steps float64) float64 { return math.Round(value*steps) / steps }
