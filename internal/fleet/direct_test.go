package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/origin"
)

// TestOriginMessagesKeepTheirContents checks the encoding of messages about where streams began.
func TestOriginMessagesKeepTheirContents(t *testing.T) {
	f := New(Options{Self: Member{Name: "vm-1"}})
	record := origin.Message{Kind: origin.Found, Record: origin.Record{Attempt: "a", Service: "s", Version: "v1", Account: "acme", TTL: time.Minute}}
	f.SendOrigin("vm-2", record)
	sent := <-f.direct
	require.Equal(t, "vm-2", sent.vm)
	require.Equal(t, record, marshalAndParse(t, sent.digest).Origin.unpack())
}
