package fleet_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/fleet"
	"godwitcart/internal/object"
)

// laggingStore is a store whose stale reads are behind its history: what it lists, it has dropped the changes after.
type laggingStore struct {
	object.Store
	lists, watches int
}

const laggingAnswerTime = 4 * time.Millisecond

func (s *laggingStore) Get(context.Context, string) (object.Object, error) {
	return object.Object{}, &object.NotFoundError{}
}

func (s *laggingStore) Put(_ context.Context, key string, _ []byte, _ uint64) (object.Object, error) {
	return object.Object{Key: key, Version: 1}, nil
}

func (s *laggingStore) List(context.Context, string) (object.Listing, error) {
	s.lists++
	time.Sleep(laggingAnswerTime)
	return object.Listing{Revision: 5}, nil
}

func (s *laggingStore) Watch(_ context.Context, _ string, after uint64) (object.Batch, error) {
	s.watches++
	time.Sleep(laggingAnswerTime)
	return object.Batch{Revision: after, Compacted: true}, nil
}

// TestDirectoryIsListedWithoutEnd guards against a VM that lists the directory again and again at once, since the store has dropped its
// history while stale lists are still older than that.
func TestDirectoryIsListedWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &laggingStore{}
		directory := &fleet.Directory{Store: store, Self: fleet.Member{Name: "vm-1"}, Logger: log.New(io.Discard), Changed: func(map[string]fleet.Member) {}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, directory.Run(ctx))
		require.LessOrEqual(t, store.lists+store.watches, 2*11, "a list and a watch each second")
	})
}
