package acceptance

import (
	"fmt"
	"slices"
	"time"

	"godwitcart/internal/policy"
)

// maxDecidedIDs limits the stored ids of decided proposals, which are used to refuse late Stage calls.
const maxDecidedIDs = 64

// proposal is a staged configuration whose outcome is not known yet.
type proposal struct {
	id string
	// baseRevision is the revision of the root object that the conditional update expects.
	baseRevision uint64
	index        *policy.Index
	stagedAt     time.Time
}

func (p proposal) version() uint64 { return p.index.Configuration().Version }

// state is the configuration of one VM and its staged proposals. It is not safe for concurrent use.
// Invariant: the version of current never decreases.
type state struct {
	current *policy.Index
	// rootRevision is the highest revision of the root object that was read.
	rootRevision uint64
	staged       []proposal
	decidedIDs   []string
}

func newState() state { return state{} }

// version returns the version of the current configuration, or zero.
func (s *state) version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Configuration().Version
}

// adopt replaces the current configuration if index is newer, and removes the proposals that are decided by it. It
// reports whether the current configuration changed. accepted lists the ids of accepted proposals. revision is the
// revision of the root object with the configuration, or zero if the configuration came from a peer.
func (s *state) adopt(index *policy.Index, accepted []string, revision uint64) bool {
	newer := index.Configuration().Version > s.version()
	if newer {
		s.current = index
	}
	s.rootRevision = max(s.rootRevision, revision)
	for _, id := range accepted {
		s.conclude(id)
	}
	s.staged = slices.DeleteFunc(s.staged, func(p proposal) bool {
		isDecided := s.isDecided(p)
		if isDecided {
			s.recordDecided(p.id)
		}
		return isDecided
	})
	return newer
}

// isDecided reports whether a proposal was accepted or can no longer be accepted: its version or a newer one is in
// force, or the root object has a newer revision than its conditional update expects.
func (s *state) isDecided(p proposal) bool {
	return p.version() <= s.version() || p.baseRevision < s.rootRevision
}

// stage stages a proposal, or returns why it is refused. Staging a proposal twice is not an error.
func (s *state) stage(p proposal) error {
	if p.version() <= s.version() {
		return fmt.Errorf("version %d is in force, the change would be version %d", s.version(), p.version())
	}
	if p.baseRevision < s.rootRevision {
		return fmt.Errorf("the root object was written since the change was made")
	}
	if slices.Contains(s.decidedIDs, p.id) {
		return fmt.Errorf("the proposal %s is already decided", p.id)
	}
	if _, isStaged := s.findStaged(p.id); isStaged {
		return nil
	}
	if len(s.staged) >= maxStagedProposals {
		return fmt.Errorf("%d other changes are undecided", len(s.staged))
	}
	s.staged = append(s.staged, p)
	return nil
}

// findStaged returns the staged proposal with an id.
func (s *state) findStaged(id string) (proposal, bool) {
	index := slices.IndexFunc(s.staged, func(p proposal) bool { return p.id == id })
	if index < 0 {
		return proposal{}, false
	}
	return s.staged[index], true
}

// reject removes a proposal that was rejected.
func (s *state) reject(id string) { s.conclude(id) }

// conclude removes a proposal and records its id as decided.
func (s *state) conclude(id string) {
	s.staged = slices.DeleteFunc(s.staged, func(p proposal) bool { return p.id == id })
	s.recordDecided(id)
}

func (s *state) recordDecided(id string) {
	if slices.Contains(s.decidedIDs, id) {
		return
	}
	s.decidedIDs = append(s.decidedIDs, id)
	if len(s.decidedIDs) > maxDecidedIDs {
		s.decidedIDs = slices.Delete(s.decidedIDs, 0, len(s.decidedIDs)-maxDecidedIDs)
	}
}

// oldestStaged returns the base revision and the staging time of the proposal that was staged first.
func (s *state) oldestStaged() (baseRevision uint64, stagedAt time.Time, found bool) {
	for _, p := range s.staged {
		if !found || p.stagedAt.Before(stagedAt) {
			baseRevision, stagedAt, found = p.baseRevision, p.stagedAt, true
		}
	}
	return baseRevision, stagedAt, found
}

// snapshot returns an immutable copy for readers.
func (s *state) snapshot() *snapshot {
	return &snapshot{current: s.current, staged: slices.Clone(s.staged)}
}

// snapshot is the part of the state that requests read. It is immutable.
type snapshot struct {
	current *policy.Index
	staged  []proposal
}

// inDoubtProposals returns the proposals that have been undecided for at least inDoubtAfter at the given time.
func (s *snapshot) inDoubtProposals(now time.Time) []proposal {
	var inDoubt []proposal
	for _, p := range s.staged {
		if now.Sub(p.stagedAt) >= inDoubtAfter {
			inDoubt = append(inDoubt, p)
		}
	}
	return inDoubt
}
