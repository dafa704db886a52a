package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// oddStatuses are some that HTTP does not have.
var oddStatuses = []string{"000 None", "001 X", "020 X", "099 X", "+20 OK", "600 X", "700 X", "999 X"}

// TestOddStatusIsNotPassedOn guards against a target in trouble whose answer with a status that HTTP does not have reaches the
// caller, or hides an answer behind it that belongs to nobody: the caller learns that the outcome is not known.
func TestOddStatusIsNotPassedOn(t *testing.T) {
	const stamp = "X-Attempt-Id: ATTEMPT\r\nX-Response-Stamp: 1.2.3\r\n"
	bodies := map[string]string{
		"alone":           stamp + "Content-Length: 0\r\n\r\n",
		"before a sound":  stamp + "\r\nHTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 5\r\n\r\nsound",
		"with a body":     stamp + "Content-Length: 3\r\n\r\nodd",
		"with its stream": stamp + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n\n\n\r\n0\r\n\r\n",
	}
	d := newDeployment(t)
	targets := []*platformtest.Target{d.target("e1", platformtest.EngineService), d.target("p1", platformtest.PlainService)}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	for _, status := range oddStatuses {
		for name, body := range bodies {
			for _, path := range []string{"/lookup/1", "/peek/1", "/letters/1", "/checks/1"} {
				t.Run(fmt.Sprint(status, " ", name, path), func(t *testing.T) {
					for _, target := range targets {
						target.SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
							if r.Header.Get(platformtest.HeaderEvents) == "" && !strings.HasPrefix(r.URL.Path, "/lookup/") && !strings.HasPrefix(r.URL.Path, "/peek/") {
								return false // a report or the end of a run
							}
							return writeRaw(w, strings.ReplaceAll("HTTP/1.1 "+status+"\r\n"+body, "ATTEMPT", r.Header.Get("X-Attempt-Id")))
						})
					}
					request := v.generation(path, 1, 1)
					response, err := v.client.Do(request)
					if err != nil {
						return // broken off, which promises nothing
					}
					defer response.Body.Close()
					text, _ := io.ReadAll(response.Body) // what came before it broke off
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s", text)
					require.Empty(t, response.Header.Get("X-Response-Stamp"))
				})
			}
		}
	}
}

// writeRaw answers with the text and closes the connection.
func writeRaw(w http.ResponseWriter, text string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text) // an error means that the VM has closed it
	return true
}
