package httpstatus_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/httpstatus"
)

// TestOddStatusIsNoAnswer checks what net/http passes on of status lines that HTTP does not have.
func TestOddStatusIsNoAnswer(t *testing.T) {
	for status, isAnswer := range map[string]bool{
		"000 None": false, "001 X": false, "020 X": false, "099 X": false, "+20 OK": false, "-20 OK": false, "+99": false, "600 X": false, "700 X": false, "999": false,
		"200 OK": true, "404 Not Found": true, "599 X": true, "204": true,
	} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
			go answer(listener, "HTTP/1.1 "+status+"\r\nConnection: close\r\n\r\n")
			client := &http.Client{Transport: httpstatus.Transport(&http.Transport{DisableKeepAlives: true})}
			response, err := client.Get("http://" + listener.Addr().String())
			if !isAnswer {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			response.Body.Close()
		})
	}
}

// answer writes the text on each connection after a request has begun.
func answer(listener net.Listener, text string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4<<10)) // a part of the request
		_, _ = io.WriteString(conn, text)     // an error means that the test has ended
		conn.Close()
	}
}
