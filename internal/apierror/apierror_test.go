package apierror_test

import (
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
)

func TestErrorKeepsKindCauseAndRemedyThroughWrapping(t *testing.T) {
	base := apierror.Wrap(io.ErrUnexpectedEOF, apierror.KindNotRun, "target closed", "retry")
	wrapped := errors.Wrap(base.WithRetryAfter(2*time.Second), "dispatch")
	require.Equal(t, apierror.KindNotRun, apierror.KindOf(wrapped))
	require.ErrorIs(t, wrapped, io.ErrUnexpectedEOF)
	require.Contains(t, wrapped.Error(), "retry")
	require.Zero(t, base.RetryAfter)
}

func TestKindOfUntypedErrorIsInternal(t *testing.T) {
	require.Equal(t, apierror.KindInternal, apierror.KindOf(io.EOF))
	require.Equal(t, 500, apierror.KindOf(io.EOF).HTTPStatus())
}
