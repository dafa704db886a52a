package admin

import (
	"net/http"
	"net/http/pprof"
)

// PathProfile, followed by the name of a runtime profile such as heap, goroutine or profile (CPU), returns
// that profile in the format of `go tool pprof`.
const PathProfile = "/debug/pprof/"

func (h *Handler) serveProfile(w http.ResponseWriter, r *http.Request, _ Token) {
	if name := r.PathValue("name"); name != "profile" {
		pprof.Handler(name).ServeHTTP(w, r)
		return
	}
	pprof.Profile(w, r)
}
