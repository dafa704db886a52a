package dispatch

import (
	"context"

	"godwitcart/internal/request"
)

// Claims is what the dispatcher needs of the claims on non-idempotent requests.
type Claims interface{}

// claim is thin for now: it claims nothing.
func (g *generation) claim(ctx context.Context, binding Binding) (*Binding, error) {
	return nil, nil
}

func (g *generation) join(ctx context.Context, existing *Binding) error { return nil }

func (g *generation) settleClaim(err error) {}

var _ = request.AttemptEnded
