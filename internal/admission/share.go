package admission

// evenlySplitPart is the part of a limit that is split evenly over the VMs whatever their usage. It lets a VM start
// serving an account that was idle there, and makes usage converge towards even shares.
const evenlySplitPart = 0.02

// LocalShare returns this VM's share of an account's limit, given its own usage and the usage that each of the
// other live VMs reported. The unused rest of the limit is split evenly.
//
// Invariant: if all live VMs have the same view, the shares add up to the limit.
func LocalShare(limit, ownUsage float64, otherUsages []float64, liveVMs int) float64 {
	others := 0.0
	for _, usage := range otherUsages {
		others += usage
	}
	return localShare(limit, ownUsage, others, liveVMs)
}

// localShare is LocalShare for the summed usage of the other VMs. If the usage of all VMs exceeds the limit, the
// limit is split in proportion to it.
func localShare(limit, own, others float64, liveVMs int) float64 {
	live := float64(max(liveVMs, 1))
	even := limit / live
	used := own + others
	flexible := own + (limit-used)/live
	if used > limit {
		flexible = limit * own / used
	}
	return evenlySplitPart*even + (1-evenlySplitPart)*flexible
}

// localConcurrency returns this VM's part of an account's concurrency limit, where own is the usage it last
// reported. A limit smaller than the number of VMs cannot be split into whole requests, so a VM whose part is zero
// may start one request while the others' known usage is below the limit.
func localConcurrency(limit, own, others, liveVMs int) int {
	share := int(localShare(float64(limit), float64(own), float64(others), liveVMs))
	if share == 0 && others < limit {
		return 1
	}
	return share
}
