package once_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

func TestBriefErrorsKeepTheirCause(t *testing.T) {
	short := errors.New("short")
	require.Equal(t, short, once.Brief(short))
	require.NoError(t, once.Brief(nil))

	long := errors.Join(io.ErrUnexpectedEOF, errors.New(strings.Repeat("é", 10_000)))
	require.ErrorIs(t, once.Brief(long), io.ErrUnexpectedEOF)
	require.Less(t, len(once.Brief(long).Error()), 300)
}
