package admission

// fairPart is the part of a limit that is split evenly over the VMs whatever they use, so that a
// VM on which an account was idle can always begin and use drifts towards even shares.
const fairPart = 0.02

// LocalShare returns this VM's share of an account's limit, given its own use and the use that
// each of the other live VMs told. Unused room is split evenly.
//
// Invariant: with the same view on all live VMs, the shares sum to the limit.
func LocalShare(limit, ownUsage float64, otherUsages []float64, liveVMs int) float64 {
	others := 0.0
	for _, usage := range otherUsages {
		others += usage
	}
	return localShare(limit, ownUsage, others, liveVMs)
}

// localShare is LocalShare on the sum of the others' use.
func localShare(limit, own, others float64, liveVMs int) float64 {
	live := float64(max(liveVMs, 1))
	even := limit / live
	used := own + others
	flexible := own + (limit-used)/live
	if used > limit {
		flexible = limit * own / used
	}
	return fairPart*even + (1-fairPart)*flexible
}

// localConcurrency returns the number of requests in progress that this VM may hold of an
// account's concurrency limit, where own is what it told the others. A limit smaller than the
// number of VMs cannot be split into whole requests, so a VM that holds none may begin one while
// the known use of all VMs is below the limit.
func localConcurrency(limit, own, others, liveVMs int) int {
	share := int(localShare(float64(limit), float64(own), float64(others), liveVMs))
	if share == 0 && others < limit {
		return 1
	}
	return share
}
