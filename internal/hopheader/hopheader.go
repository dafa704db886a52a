// Package hopheader removes the header fields that concern one connection only, so that the rest can be
// passed on to another (RFC 9110, section 7.6.1).
package hopheader

import (
	"net/http"
	"strings"
)

// oneConnection are the fields that concern one connection, whether Connection names them or not.
var oneConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Without returns a copy of the header without the fields that concern one connection.
func Without(header http.Header) http.Header {
	kept := header.Clone()
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range oneConnection {
		kept.Del(name)
	}
	return kept
}
