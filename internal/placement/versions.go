package placement

import "time"

const (
	// loneVersionCost is the penalty of an engine that is the only one of its software version: its streams have nowhere
	// to continue.
	loneVersionCost = 400.0
	// departingVersionCost is added in proportion to the share of the version's engines that are leaving: streams may
	// outlast the last of them.
	departingVersionCost = 300.0
	// versionMemory is how long a software version is remembered that is no longer listed. No stream lasts longer.
	versionMemory = 10 * time.Minute
)

// versionCount counts the targets of one software version.
type versionCount struct{ serving, leaving int }

// SoleVersion returns the software version of the service's targets if this VM has listed no other within versionMemory. It
// does not show that there has been no other: this VM may have missed it.
func (t *Table) SoleVersion(serviceName string, now time.Time) (sole string, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil {
		return "", false
	}
	for version, listedAt := range s.versionsListed {
		if now.Sub(listedAt) > versionMemory {
			continue
		}
		if found {
			return "", false
		}
		sole, found = version, true
	}
	return sole, found
}

// SetRecordedVersions replaces the versions of a service at which streams may begin that callers can resume.
func (t *Table) SetRecordedVersions(serviceName string, versions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recorded := make(map[string]bool, len(versions))
	for _, version := range versions {
		recorded[version] = true
	}
	t.recordedVersions[serviceName] = recorded
	if s := t.services[serviceName]; s != nil {
		s.recorded = recorded
		t.wakeWaiters()
	}
}

// recordVersions records that the targets' versions are listed, and forgets those that are long gone.
func (s *service) recordVersions(now time.Time) {
	for _, member := range s.targets {
		s.versionsListed[member.Version] = now
	}
	for version, listedAt := range s.versionsListed {
		if queue := s.versionQueues[version]; now.Sub(listedAt) > versionMemory && (queue == nil || len(queue.waiting) == 0) {
			delete(s.versionsListed, version)
			delete(s.versionQueues, version)
		}
	}
}

// countVersions counts the targets of each version again after they have changed.
func (s *service) countVersions() {
	s.versions = make(map[string]*versionCount)
	for _, member := range s.targets {
		count := s.versions[member.Version]
		if count == nil {
			count = &versionCount{}
			s.versions[member.Version] = count
		}
		if member.leaving {
			count.leaving++
		} else {
			count.serving++
		}
	}
}

// versionCost returns the penalty of an engine whose software version may not serve any more when a new stream has to
// continue elsewhere.
func (s *service) versionCost(candidate *target, q *Query) float64 {
	if len(s.versions) < 2 || q.VersionFixed {
		return 0
	}
	count := s.versions[candidate.Version]
	cost := departingVersionCost * float64(count.leaving) / float64(count.leaving+count.serving)
	if count.serving < 2 {
		cost += loneVersionCost
	}
	return cost
}
