// Package hopheader removes hop-by-hop header fields from messages that are forwarded (RFC 9110, section 7.6.1).
package hopheader

import (
	"net/http"
	"strings"
)

// hopByHopFields are removed whether the Connection field lists them or not.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip returns a copy of the header without the hop-by-hop fields.
func Strip(header http.Header) http.Header {
	stripped := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			stripped.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		stripped.Del(name)
	}
	return stripped
}
