package object_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
)

// appendOnce returns a mutation that appends a letter unless the value already contains it.
func appendOnce(letter string) object.Mutation {
	return func(current object.Object) ([]byte, error) {
		for _, present := range current.Value {
			if string(present) == letter {
				return nil, object.ErrUnchanged
			}
		}
		return append(current.Value, letter...), nil
	}
}

func TestUpdateTakesEffectOnceUnderFaults(t *testing.T) {
	faults := map[string]objecttest.Fault{
		"none":         {},
		"lost answer":  {LoseResponse: true},
		"lost request": {LoseRequest: true},
		"late":         {DeferWrite: true},
		"conflict":     {Conflict: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.NewStore()
				_, err := store.Put(t.Context(), "k", []byte("a"), 0)
				require.NoError(t, err)
				remaining := 3
				store.SetFaults(func(call objecttest.Call) objecttest.Fault {
					if call.Op != objecttest.OpPut || remaining == 0 {
						return objecttest.Fault{}
					}
					remaining--
					return fault
				})
				_, err = object.Update(t.Context(), store, "k", appendOnce("b"))
				require.NoError(t, err)
				store.Flush()
				current, err := store.Get(t.Context(), "k")
				require.NoError(t, err)
				require.Equal(t, "ab", string(current.Value))
			})
		})
	}
}

func TestUpdateReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.NewStore()
		store.SetFaults(func(call objecttest.Call) objecttest.Fault {
			return objecttest.Fault{LoseRequest: call.Number == 2, Unavailable: call.Number > 2}
		})
		_, err := object.Update(t.Context(), store, "k", appendOnce("a"))
		require.True(t, object.IsUnknownOutcome(err), "%v", err)
		require.Equal(t, apierror.KindOutcomeUnknown, apierror.KindOf(err))
		store.SetFaults(func(objecttest.Call) objecttest.Fault { return objecttest.Fault{LoseRequest: true} })
		_, err = object.Update(t.Context(), store, "k", appendOnce("a"))
		require.True(t, object.IsUnknownOutcome(err), "attempts are bounded: %v", err)
	})
}

func TestUpdateReturnsMutationError(t *testing.T) {
	mutationErr := errors.New("refused")
	_, err := object.Update(t.Context(), objecttest.NewStore(), "k", func(object.Object) ([]byte, error) { return nil, mutationErr })
	require.ErrorIs(t, err, mutationErr)
}

func TestResolveOutcomeIsFinal(t *testing.T) {
	applied := func(current object.Object) bool { return string(current.Value) == "mine" }
	tests := []struct {
		name        string
		fault       objecttest.Fault
		overwritten bool
		want        bool
	}{
		{name: "took effect", fault: objecttest.Fault{LoseResponse: true}, want: true},
		{name: "lost on the network", fault: objecttest.Fault{LoseRequest: true}, want: true},
		{name: "delayed on the network", fault: objecttest.Fault{DeferWrite: true}, want: true},
		{name: "delayed until after another write", fault: objecttest.Fault{DeferWrite: true}, overwritten: true, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := context.Background()
				store := objecttest.NewStore()
				store.SetFaults(func(objecttest.Call) objecttest.Fault { return test.fault })
				_, err := store.Put(ctx, "k", []byte("mine"), 0)
				require.True(t, object.IsUnknownOutcome(err))
				store.SetFaults(nil)
				if test.overwritten {
					_, err = store.Put(ctx, "k", []byte("other"), 0)
					require.NoError(t, err)
				}
				_, got, err := object.ResolveOutcome(ctx, store, "k", []byte("mine"), 0, applied)
				require.NoError(t, err)
				require.Equal(t, test.want, got)
				store.Flush()
				after, err := store.Get(ctx, "k")
				require.NoError(t, err)
				require.Equal(t, test.want, applied(after))
			})
		})
	}
}
