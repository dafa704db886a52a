package tlsconfig

import "time"

// ExpireCheck makes the next handshake check the files.
func (r *Reloader) ExpireCheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = time.Time{}
}

// Failures returns the number of reloads that failed.
func (r *Reloader) Failures() int64 { return r.failures.Count() }
