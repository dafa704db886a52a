package tunnel

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Dial reaches the targets.
	Dial Dial
	// Allow returns an error if the user at the IP address may have no tunnel to host:port now.
	Allow func(user netip.Addr, address string) error
	// MaxTunnels bounds the open tunnels.
	MaxTunnels int
	// Context resets all tunnels when it ends; nil means that nothing does.
	Context context.Context
}

// ErrForbidden marks errors of ServerOptions.Allow that will not go away by themselves, and ErrNoWay those that concern the
// target alone: the user is told that it cannot be reached through this process.
var (
	ErrForbidden = errors.New("forbidden")
	ErrNoWay     = errors.New("no way to the target")
)

// Server is the HTTP handler at the other end of tunnels.
type Server struct {
	options ServerOptions
	open    atomic.Int64

	mu sync.Mutex
	// users counts the open tunnels of each user, by the address of the target.
	users map[string]map[netip.Addr]int
}

// NewServer returns a Server without tunnels.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, users: make(map[string]map[netip.Addr]int)}
}

// Users returns the IP addresses that have a tunnel to the target at host:port.
func (s *Server) Users(address string) []netip.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.users[address]))
}

// addUser counts a tunnel of the user; the function that it returns ends that.
func (s *Server) addUser(user netip.Addr, address string) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.users[address] == nil {
		s.users[address] = make(map[netip.Addr]int)
	}
	s.users[address][user]++
	return func() { s.removeUser(user, address) }
}

func (s *Server) removeUser(user netip.Addr, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users[address][user]--
	if s.users[address][user] == 0 {
		delete(s.users[address], user)
	}
	if len(s.users[address]) == 0 {
		delete(s.users, address)
	}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 { return s.open.Load() }

// ServeHTTP implements http.Handler. It answers 403 or 503 to what it does not carry, 502 if the target cannot be reached,
// and otherwise 200, after which the connection is the tunnel.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.Error(w, "only CONNECT is served here", http.StatusMethodNotAllowed)
		return
	}
	user, err := netip.ParseAddrPort(r.RemoteAddr)
	if err == nil {
		err = s.options.Allow(user.Addr().Unmap(), r.Host)
	}
	switch {
	case errors.Is(err, ErrForbidden):
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	case errors.Is(err, ErrNoWay):
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if s.open.Add(1) > int64(s.options.MaxTunnels) {
		s.open.Add(-1)
		http.Error(w, "all tunnels are in use", http.StatusServiceUnavailable)
		return
	}
	defer s.open.Add(-1)
	defer s.addUser(user.Addr().Unmap(), r.Host)()
	s.carry(w, r)
}

func (s *Server) carry(w http.ResponseWriter, r *http.Request) {
	target, err := s.options.Dial(r.Context(), r.Host)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	user, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		target.Close()
		http.Error(w, "the connection cannot carry a tunnel", http.StatusInternalServerError)
		return
	}
	accepted, copyAnswers := "HTTP/1.1 200 OK\r\n", copyBytes
	if wantsFrames(r.Header) {
		accepted, copyAnswers = accepted+headerFraming+": "+valueFraming+"\r\n", copyFramed
	}
	if _, err := user.Write([]byte(accepted + "\r\n")); err != nil || buffered.Reader.Buffered() > 0 {
		target.Close()
		user.Close()
		return
	}
	if s.options.Context != nil {
		stop := context.AfterFunc(s.options.Context, func() {
			reset(user)
			user.Close()
			target.Close()
		})
		defer stop()
	}
	pipe(user, target, copyAnswers)
}
