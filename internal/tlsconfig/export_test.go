package tlsconfig

import "time"

// ExpireCheck lets the next handshake look at the files again.
func (r *Reloader) ExpireCheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = time.Time{}
}

// Failures returns the number of reloads that failed.
func (r *Reloader) Failures() int64 { return r.failures.Count() }
