package placement

import "time"

const (
	// unreachableTTL is how long the word that no connection to a target could be made keeps it the last choice. Then one
	// request tries it again, and goes elsewhere if it fails.
	unreachableTTL = time.Second
	// unreachableRepeatTime is how long a VM repeats what it has found, since some datagrams are lost.
	unreachableRepeatTime = 300 * time.Millisecond
	// maxUnreachableWords bounds what a VM tells at a time.
	maxUnreachableWords = 16
	// maxUnreachableShare is the share of all targets that a VM may name. One that reaches fewer is cut off itself.
	maxUnreachableShare = 0.5
)

// UnreachableWord is the word of a VM that it could not connect to a target.
type UnreachableWord struct {
	ID        string
	StartedAt int64
	Age       time.Duration
}

// OwnUnreachable returns the targets to which this VM itself could not connect a moment ago, for its peers.
func (t *Table) OwnUnreachable(now time.Time) []UnreachableWord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var words []UnreachableWord
	for id, member := range t.targets {
		if age := now.Sub(member.health.unreachableAt); age <= unreachableRepeatTime && len(words) < maxUnreachableWords {
			words = append(words, UnreachableWord{ID: id, StartedAt: member.StartedAt, Age: age})
		}
	}
	return words
}

// HearUnreachable records a peer's word. It makes a target the last choice, and never more: the peer may be wrong. It counts
// only from a peer in the zone of this VM or of the target, since the way from a third zone says nothing of the one from here,
// and not against a target that has answered this VM since. A peer that reaches few targets convinces nobody.
func (t *Table) HearUnreachable(peer Sender, words []UnreachableWord, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if float64(len(words)) > maxUnreachableShare*float64(len(t.targets)) {
		return
	}
	for _, word := range words {
		member := t.targets[word.ID]
		if member == nil || member.StartedAt != word.StartedAt || peer.Zone != t.self.Zone && peer.Zone != member.Zone {
			continue
		}
		if failedAt := now.Add(-max(word.Age, 0)); failedAt.After(member.health.answeredAt) {
			member.health.saidUnreachableUntil = failedAt.Add(unreachableTTL)
		}
	}
}

// isLastChoice reports whether the target gets work only if no other one can take it: it may be gone.
func (t *target) isLastChoice(now time.Time) bool {
	return t.Missing || now.Before(t.health.saidUnreachableUntil)
}
