package buffers_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
)

func TestReadKeepsItsLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 4095, 4096, 4097, 100_000} {
		for _, n := range []int{0, 1, 4095, 4096, 4097, 99_999, 100_000, 100_001} {
			text := strings.Repeat("x", n)

			for _, r := range []io.Reader{strings.NewReader(text), iotest.DataErrReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
				body, err := buffers.Read(r, limit)
				if n > limit {
					require.ErrorIs(t, err, buffers.ErrTooLong)

					continue
				}

				require.NoError(t, err)
				require.Equal(t, text, string(body))
				require.LessOrEqual(t, cap(body), limit+1)
			}
		}
	}

	failed := errors.New("failed")
	_, err := buffers.Read(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(failed)), 10)
	require.ErrorIs(t, err, failed)
}
