package acceptance

import (
	"fmt"
	"slices"
	"time"

	"godwitcart/internal/policy"
)

// maxConcluded bounds the remembered outcomes, which keep a late Stage call from being held.
const maxConcluded = 64

// proposal is a configuration that was staged and is not decided yet.
type proposal struct {
	id string
	// base is the revision of the root object that the conditional update expects.
	base   uint64
	index  *policy.Index
	staged time.Time
}

func (p proposal) version() uint64 { return p.index.Configuration().Version }

// state is the decisions of one VM about its configuration. It is not safe for concurrent use.
// Invariant: the version of current never falls.
type state struct {
	current *policy.Index
	// revision is the highest revision of the root object that was seen.
	revision  uint64
	staged    []proposal
	concluded []string
}

func newState() state { return state{} }

// version returns the version of the current configuration, or zero.
func (s *state) version() uint64 {
	if s.current == nil {
		return 0
	}
	return s.current.Configuration().Version
}

// adopt replaces the current configuration by a newer accepted one and drops the proposals
// that it decides; it reports whether the current configuration changed. accepted lists the
// ids of the proposals that led to it. revision is that of the root object which holds the
// configuration, or zero if it was learnt from a peer.
func (s *state) adopt(index *policy.Index, accepted []string, revision uint64) bool {
	newer := index.Configuration().Version > s.version()
	if newer {
		s.current = index
	}
	s.revision = max(s.revision, revision)
	for _, id := range accepted {
		s.forget(id)
	}
	s.staged = slices.DeleteFunc(s.staged, func(p proposal) bool {
		decided := s.decided(p)
		if decided {
			s.remember(p.id)
		}
		return decided
	})
	return newer
}

// decided reports whether a proposal is accepted or can no longer be: its version is taken, or
// the root object has passed the revision that its conditional update expects.
func (s *state) decided(p proposal) bool { return p.version() <= s.version() || p.base < s.revision }

// stage holds a proposal, or says why not. Staging a held proposal again is no error.
func (s *state) stage(p proposal) error {
	if p.version() <= s.version() {
		return fmt.Errorf("version %d is in force, the change would be version %d", s.version(), p.version())
	}
	if p.base < s.revision {
		return fmt.Errorf("the root object was written since the change was made")
	}
	if slices.Contains(s.concluded, p.id) {
		return fmt.Errorf("the proposal %s is already decided", p.id)
	}
	if _, held := s.held(p.id); held {
		return nil
	}
	if len(s.staged) >= maxStaged {
		return fmt.Errorf("%d other changes are undecided", len(s.staged))
	}
	s.staged = append(s.staged, p)
	return nil
}

// held returns the undecided proposal of an id.
func (s *state) held(id string) (proposal, bool) {
	at := slices.IndexFunc(s.staged, func(p proposal) bool { return p.id == id })
	if at < 0 {
		return proposal{}, false
	}
	return s.staged[at], true
}

// drop forgets a proposal that was rejected.
func (s *state) drop(id string) { s.forget(id) }

func (s *state) forget(id string) {
	s.staged = slices.DeleteFunc(s.staged, func(p proposal) bool { return p.id == id })
	s.remember(id)
}

func (s *state) remember(id string) {
	if slices.Contains(s.concluded, id) {
		return
	}
	s.concluded = append(s.concluded, id)
	if len(s.concluded) > maxConcluded {
		s.concluded = slices.Delete(s.concluded, 0, len(s.concluded)-maxConcluded)
	}
}

// oldest returns the base and staging time of the longest undecided proposal.
func (s *state) oldest() (base uint64, staged time.Time, undecided bool) {
	for _, p := range s.staged {
		if !undecided || p.staged.Before(staged) {
			base, staged, undecided = p.base, p.staged, true
		}
	}
	return base, staged, undecided
}

// view returns an immutable copy for readers.
func (s *state) view() *view {
	return &view{current: s.current, staged: slices.Clone(s.staged)}
}

// view is what requests read. It is immutable.
type view struct {
	current *policy.Index
	staged  []proposal
}

// inDoubt returns the proposals that have been undecided for too long at now.
func (v *view) inDoubt(now time.Time) []proposal {
	var doubtful []proposal
	for _, p := range v.staged {
		if now.Sub(p.staged) >= doubtAfter {
			doubtful = append(doubtful, p)
		}
	}
	return doubtful
}
