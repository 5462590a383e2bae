package once_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

func TestReadBodyKeepsItsLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		for _, n := range []int{0, 1, 4095, 4096, 4097, 99_999, 100_000, 100_001} {
			text := strings.Repeat("x", n)

			for _, r := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
				body, err := once.ReadBody(r, limit)
				if n > limit {
					require.ErrorIs(t, err, once.ErrTooLong)

					continue
				}

				require.NoError(t, err)
				require.Equal(t, text, string(body))
				require.LessOrEqual(t, cap(body), limit+1)
			}
		}
	}

	failed := errors.New("failed")
	_, err := once.ReadBody(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(failed)), 10)
	require.ErrorIs(t, err, failed)
}

func TestBriefErrorsKeepTheirCause(t *testing.T) {
	short := errors.New("short")
	require.Equal(t, short, once.Brief(short))
	require.NoError(t, once.Brief(nil))

	long := errors.Join(io.ErrUnexpectedEOF, errors.New(strings.Repeat("é", 10_000)))
	require.ErrorIs(t, once.Brief(long), io.ErrUnexpectedEOF)
	require.Less(t, len(once.Brief(long).Error()), 300)
}
