// Package vmlimits derives what a process may use from the resources of its VM.
package vmlimits

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"godwitcart/internal/membudget"
)

const (
	// heapShare is the share of the VM's memory that is set as the Go runtime's soft limit, above which it collects garbage more
	// often.
	heapShare = 0.6
	// heldShare is the share of the VM's memory for what is held for clients and answers. The heap may be twice as large as
	// what it holds, garbage that one collection leaves included, and the kernel's buffers count as well.
	heldShare = 0.22
	// maxOpenFiles bounds the descriptors where the kernel sets hardly any limit.
	maxOpenFiles = 1 << 20
)

// environmentLimit is the limit that the environment variable GOMEMLIMIT has set; zero for none.
var environmentLimit = readEnvironmentLimit()

func readEnvironmentLimit() int64 {
	const keep = -1
	if limit := debug.SetMemoryLimit(keep); limit < math.MaxInt64 {
		return limit
	}
	return 0
}

// ApplyMemory bounds the budget and the heap by the VM's memory of that many MB. With zero, GOMEMLIMIT stands for it; without
// either, the heap has no bound and the budget its default.
func ApplyMemory(megabytes int, budget *membudget.Budget) {
	limit := int64(megabytes) << 20
	if limit == 0 {
		limit = environmentLimit
	}
	if limit == 0 {
		budget.SetLimit(membudget.DefaultLimit)
		return
	}
	debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	budget.SetLimit(int64(heldShare * float64(limit)))
}

// OpenFiles returns the number of descriptors that the process may open: the configured one, or with zero that of the kernel.
func OpenFiles(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxOpenFiles
	}
	return int(min(limit.Cur, maxOpenFiles))
}
