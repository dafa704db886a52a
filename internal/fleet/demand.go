package fleet

import (
	"time"

	"godwitcart/internal/placement"
)

// serviceDemand is placement.ServiceDemand in a digest.
type serviceDemand struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack      struct{} `msgpack:",as_array"`
	Service       string
	UrgentRunning int
	UrgentWaiting int
	UrgentTokens  int
	WaitingTokens int
	HeadDueMillis int64
}

func packDemands(demands []placement.ServiceDemand) []serviceDemand {
	packed := make([]serviceDemand, 0, len(demands))
	for _, demand := range demands {
		packed = append(packed, serviceDemand{
			Service: demand.Service, UrgentRunning: demand.Urgent.Running, UrgentWaiting: demand.Urgent.Waiting, UrgentTokens: demand.Urgent.Tokens,
			WaitingTokens: demand.WaitingTokens, HeadDueMillis: demand.HeadDue.Milliseconds(),
		})
	}
	return packed
}

// unpackDemands leaves out demands that no VM can have.
func unpackDemands(packed []serviceDemand) []placement.ServiceDemand {
	demands := make([]placement.ServiceDemand, 0, len(packed))
	for _, entry := range packed {
		if min(entry.UrgentRunning, entry.UrgentWaiting, entry.UrgentTokens, entry.WaitingTokens) < 0 {
			continue
		}
		demands = append(demands, placement.ServiceDemand{
			Service: entry.Service, Urgent: placement.UrgentDemand{Running: entry.UrgentRunning, Waiting: entry.UrgentWaiting, Tokens: entry.UrgentTokens},
			WaitingTokens: entry.WaitingTokens, HeadDue: time.Duration(entry.HeadDueMillis) * time.Millisecond,
		})
	}
	return demands
}
