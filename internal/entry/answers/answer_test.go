package answers_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// read returns the events of a from sequence number from on, and the error of Read.
func read(ctx context.Context, a *answers.Answer, from uint64) ([]string, error) {
	var got []string

	err := a.Read(ctx, from, func(_ uint64, data []byte) error {
		got = append(got, string(data))

		return nil
	})

	return got, err
}

func TestReadersGetTheWholeAnswer(t *testing.T) {
	const (
		readers = 8
		events  = 500
	)

	a := answers.New()

	var wg sync.WaitGroup

	for from := range uint64(readers) {
		wg.Go(func() {
			next := from

			err := a.Read(t.Context(), from, func(seq uint64, data []byte) error {
				if seq != next || string(data) != fmt.Sprint(seq) {
					return errors.New("event out of order")
				}

				next++

				return nil
			})
			if err != nil || next != events {
				t.Errorf("reader from %d ended at %d: %v", from, next, err)
			}
		})
	}

	for i := range events {
		require.True(t, a.Append(fmt.Append(nil, i)))
	}

	a.Finish(nil)
	wg.Wait()
}

func TestEndOfAnAnswer(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "lost")

	tests := []struct {
		name string
		end  func(*answers.Answer)
		want *verdict.Error
	}{
		{name: "whole", end: func(a *answers.Answer) { a.Finish(nil) }},
		{name: "broken", end: func(a *answers.Answer) { a.Finish(lost) }, want: lost},
		{name: "the first end counts", end: func(a *answers.Answer) { a.Finish(lost); a.Finish(nil) }, want: lost},
		{name: "nothing after the end", end: func(a *answers.Answer) { a.Finish(nil); a.Append([]byte("late")) }},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := answers.New()
			a.Append([]byte("one"))
			tt.end(a)

			got, err := read(t.Context(), a, 0)
			require.Equal(t, []string{"one"}, got)

			_, waitErr := a.Wait(t.Context())
			ended, problem := a.Ended()

			require.True(t, ended)
			require.Equal(t, tt.want, problem)
			require.Equal(t, tt.want, verdict.From(err))
			require.Equal(t, tt.want, verdict.From(waitErr))
			require.False(t, a.Restart())
		})
	}
}

func TestAnswerIsBounded(t *testing.T) {
	for name, size := range map[string]int{"large events": 1 << 20, "small events": 256} {
		t.Run(name, func(t *testing.T) {
			a := answers.New()
			data := bytes.Repeat([]byte("x"), size)
			appended := 0

			for a.Append(data) {
				appended++

				require.LessOrEqual(t, appended, answers.MaxBytes)
			}

			_, problem := a.Ended()
			require.Equal(t, verdict.CodeAnswerTooLarge, problem.Code)
			require.LessOrEqual(t, appended*size, answers.MaxBytes)
			require.LessOrEqual(t, a.Bytes(), answers.MaxBytes)
		})
	}
}

func TestRestartIsPossibleUntilAnEventIsRead(t *testing.T) {
	a := answers.New()
	a.Append([]byte("first try"))
	require.True(t, a.Restart())
	require.Zero(t, a.NextSeq())
	require.Zero(t, a.Bytes())

	a.Append([]byte("second try"))

	errStop := errors.New("stop")
	require.ErrorIs(t, a.Read(t.Context(), 0, func(uint64, []byte) error { return errStop }), errStop)
	require.False(t, a.Restart())
	require.Equal(t, uint64(1), a.NextSeq())
}

func TestReadEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	gone := errors.New("gone")

	cancel(gone)

	_, err := read(ctx, answers.New(), 0)
	require.ErrorIs(t, err, gone)

	_, err = answers.New().Wait(ctx)
	require.ErrorIs(t, err, gone)
}

func TestAnswersAreHeldForTheHoldTime(t *testing.T) {
	const hold = time.Minute

	clock := clockwork.NewFakeClock()
	answerTable := answers.NewTable(answers.Options{Clock: clock, Hold: hold, MaxBytes: 1 << 10})
	id := answers.ID{Account: "a", Key: "k"}

	first, started, same := answerTable.Start(id, "f")
	require.True(t, started && same)

	second, started, same := answerTable.Start(id, "f")
	require.True(t, !started && same)
	require.Same(t, first, second)

	_, _, same = answerTable.Start(id, "other")
	require.False(t, same)

	_, started, _ = answerTable.Start(answers.ID{Account: "b", Key: "k"}, "f")
	require.True(t, started, "another account's request must not be joined")

	first.Finish(nil)
	answerTable.MarkEnded(id)
	clock.Advance(hold - time.Second)

	_, ok := answerTable.Find(id)
	require.True(t, ok)

	clock.Advance(time.Second)

	_, ok = answerTable.Find(id)
	require.False(t, ok)
}

func TestBytesOfHeldAnswersAreBounded(t *testing.T) {
	const limit = 1 << 10

	answerTable := answers.NewTable(answers.Options{Clock: clockwork.NewFakeClock(), MaxBytes: limit})

	for i := range 100 {
		id := answers.ID{Account: "a", Key: fmt.Sprint(i)}
		a, _, _ := answerTable.Start(id, "f")
		a.Append(make([]byte, limit/4))
		a.Finish(nil)
		answerTable.MarkEnded(id)
	}

	kept := 0

	for i := range 100 {
		if _, ok := answerTable.Find(answers.ID{Account: "a", Key: fmt.Sprint(i)}); ok {
			kept++
		}
	}

	require.Positive(t, kept)
	require.LessOrEqual(t, kept, 4)
}

// TestForgottenAnswerDoesNotExpireItsSuccessor forgets an answer and starts another one with the same id. The end of
// the first one's hold time must not drop the second one.
func TestForgottenAnswerDoesNotExpireItsSuccessor(t *testing.T) {
	const hold = time.Minute

	clock := clockwork.NewFakeClock()
	answerTable := answers.NewTable(answers.Options{Clock: clock, Hold: hold})
	id := answers.ID{Account: "a", Key: "k"}

	start := func() {
		a, started, _ := answerTable.Start(id, "f")
		require.True(t, started)
		a.Finish(nil)
		answerTable.MarkEnded(id)
	}

	start()
	answerTable.Forget(id)
	clock.Advance(hold / 2)
	start()
	clock.Advance(hold/2 + time.Second)

	_, ok := answerTable.Find(id)
	require.True(t, ok)
}

func TestWithheldEndIsSeenOnceItIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy")
		a := answers.New()
		results := make(chan error, 2)

		go func() {
			_, err := a.Wait(t.Context())
			results <- err
		}()

		go func() {
			_, err := read(t.Context(), a, 0)
			results <- err
		}()

		a.WithholdEnd()
		a.Finish(refusal)
		synctest.Wait()
		require.Empty(t, results)

		ended, problem := a.Ended()
		require.True(t, ended)
		require.Equal(t, refusal, problem)
		require.False(t, a.Append([]byte("late")))

		a.ReleaseEnd()
		require.ErrorIs(t, <-results, refusal)
		require.ErrorIs(t, <-results, refusal)
	})
}
