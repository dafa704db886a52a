package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/wire/enginewire"
)

// FuzzDigest passes arbitrary digests as requests, replies and list changes. None may cause a panic, make a leaving
// incarnation live again, or confirm a target at a time after the request was sent.
func FuzzDigest(f *testing.F) {
	watcher := newDirectory(f, "a-1")
	watcher.Observe(FromLoadReport("lm-1", enginewire.LoadReport{Incarnation: "x", MemoryTokens: 9, Loaded: []enginewire.ModelVariant{{Model: "m"}}}, at(1)))
	for _, seed := range []*peerpb.Digest{
		watcher.DigestRequest("a", at(1)), watcher.DigestReply(watcher.DigestRequest("a", at(9)), at(1)), watcher.DigestReply(newDirectory(f, "a-2").DigestRequest("a", at(1)), at(1)),
		{Facts: []*peerpb.Fact{{Name: "lm-1", Incarnation: "x", State: 2, AgeMillis: -1}}},
		{News: &peerpb.ListNews{Listed: []*peerpb.ListedVM{{Name: "lm-2", Role: "target"}}, Removed: []string{"a-1"}}},
	} {
		text, err := proto.Marshal(seed)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var digest peerpb.Digest
		if proto.Unmarshal(text, &digest) != nil {
			return
		}
		d := newDirectory(t, "a-1")
		d.Observe(Live("lm-1", "x", at(1)))
		d.Observe(Leaving("lm-1", "x", at(2)))
		request := d.DigestRequest("a", at(3))
		d.DigestReply(&digest, at(3))
		d.MergeReply(request, &digest, at(3))
		d.MergeListChanges(digest.News, at(3))
		for _, vm := range d.AllTargets(at(3)) {
			require.False(t, vm.ConfirmedAt.After(at(3)))
			require.False(t, vm.Incarnation == "x" && vm.State == StateLive)
		}
	})
}
