package object_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/object"
	"godwitcart/internal/wire/platformwire"
)

// silencer answers each request with an object, except on connections that have gone silent.
type silencer struct {
	mu           sync.Mutex
	known        map[string]bool
	silent       map[string]bool
	pending      int
	allConnected chan struct{}
}

// ServeHTTP implements http.Handler. The first requests are answered together, so that each has a connection of its own.
func (s *silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isSilent := s.silent[r.RemoteAddr]
	s.known[r.RemoteAddr] = true
	if s.pending--; s.pending == 0 {
		close(s.allConnected)
	}
	s.mu.Unlock()
	if isSilent {
		<-r.Context().Done()
		return
	}
	<-s.allConnected
	_ = json.NewEncoder(w).Encode(platformwire.Object{Key: "k", Version: 1})
}

// silence makes the connections silent that are open.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.known = s.known, make(map[string]bool)
}

// TestReadsAreRetriedOnConnectionsThatWentSilent guards against reads whose retries all go to kept connections that have gone silent.
func TestReadsAreRetriedOnConnectionsThatWentSilent(t *testing.T) {
	const connections = 8
	platform := &silencer{known: make(map[string]bool), pending: connections, allConnected: make(chan struct{})}
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	client := object.NewClient(object.Options{BaseURL: server.URL})
	var reads sync.WaitGroup
	for range connections {
		reads.Go(func() { _, _ = client.Get(t.Context(), "k") })
	}
	reads.Wait()
	require.Len(t, platform.known, connections)
	platform.silence()
	_, err := client.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Len(t, platform.known, 2, "the connection of the first attempt and a new one")
}
