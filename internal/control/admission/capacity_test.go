package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Urgent work starts in the tick in which it arrives, even if other work uses all the capacity that it may use.
func TestUrgentRoomIsReserved(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		other admission.Work
	}{
		{"long answers hold the slots", 200, admission.Work{Urgency: entity.Ordinary, Prefill: 1, Decode: 1}},
		{"patient work holds the slots", 200, admission.Work{Urgency: entity.Patient, Prefill: 1, Decode: 1}},
		{"long prompts exceed the rate", 3, admission.Work{Urgency: entity.Patient, Prefill: 60_000, Decode: 1}},
		{"long answers exceed the rate", 3, admission.Work{Urgency: entity.Ordinary, Prefill: 1, Decode: 12_000}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := admission.New(admission.Options{MaxQueuedPerAccount: 1000})
			c.SetCapacity(hostCapacity)

			for i := range tt.n {
				w := tt.other
				w.Request = entity.RequestID(fmt.Sprint(i))
				w.Arrived, w.Deadline = epoch, epoch.Add(time.Hour)
				c.Offer(epoch, w)
			}

			require.NotEmpty(t, c.Next(epoch))

			urgent := urgentCheck("app")
			urgent.Request = "urgent"
			urgent.Deadline = epoch.Add(2 * time.Second)
			require.True(t, c.Offer(epoch, urgent).Accepted)
			require.Equal(t, []admission.Grant{{Work: withArrival(urgent, epoch)}}, c.Next(epoch))
		})
	}
}

func withArrival(w admission.Work, at time.Time) admission.Work {
	w.Arrived = at

	return w
}

// A patient backlog that would miss its deadline with the guaranteed share alone is promoted ahead of an
// overload of ordinary work early enough.
func TestPatientBacklogIsPromoted(t *testing.T) {
	f := newFleet(hostCapacity)

	for range 60 {
		f.offer(patientReport("survey"), 90*time.Second)
	}

	f.forEach(120*time.Second, func(due func(float64) int) {
		for range due(40) {
			f.offer(ordinaryRewrite("site"), 8*time.Second)
		}
	})

	report := f.result("report")
	t.Logf("patient %s, ordinary %s", report.summary(), f.result("rewrite").summary())
	require.Equal(t, 60, report.good)
}

// A flood of urgent work leaves the other urgencies their guaranteed shares, and accepted patient work ends
// within its deadline.
func TestUrgentFloodLeavesTheOthersTheirShare(t *testing.T) {
	const seconds = 60

	f := newFleet(hostCapacity)

	f.forEach(seconds*time.Second, func(due func(float64) int) {
		for range due(200) {
			f.offer(urgentCheck("app"), 2*time.Second)
		}

		for range due(0.2) {
			f.offer(patientReport("survey"), 90*time.Second)
		}

		for range due(5) {
			f.offer(ordinaryRewrite("site"), 8*time.Second)
		}
	})
	f.forEach(2*time.Minute, func(func(float64) int) {})

	report, rewrite := f.result("report"), f.result("rewrite")
	t.Logf("urgent %s, patient %s, ordinary %s", f.result("booking-check").summary(), report.summary(), rewrite.summary())
	// The reports need less than their guaranteed tenth of the prefill rate. The rewrites need more than their tenth
	// and must use at least nine tenths of it, as the first and last seconds use less.
	require.Equal(t, report.offered, report.good)
	require.GreaterOrEqual(t, rewrite.good, seconds*16_000/10/1500*9/10)
}

// Work beyond the limits of its account is refused, with the time until the account is below them again; work
// of other accounts is accepted.
func TestAccountLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits entity.Limits
	}{
		{"open", entity.Limits{Open: 4}},
		{"prefill", entity.Limits{PrefillPerSecond: 800}},
		{"decode", entity.Limits{DecodePerSecond: 80}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(hostCapacity)
			f.c.SetAccount("app", tt.limits)

			var refused admission.Decision

			for range 5 {
				refused = f.offer(urgentCheck("app"), 2*time.Second)
			}

			require.False(t, refused.Accepted)
			require.EqualValues(t, "account-limit", refused.Code)
			require.True(t, f.offer(urgentCheck("other"), 2*time.Second).Accepted)

			f.forEach(refused.RetryAfter+time.Second, func(func(float64) int) {})
			require.True(t, f.offer(urgentCheck("app"), 2*time.Second).Accepted)
		})
	}
}

// Short answers take more time per output token than long ones, as most of their time is prefill. They must not
// raise the estimated run time of long answers so far that long answers are refused.
func TestShortAnswersDoNotSkewTheEstimateOfLongOnes(t *testing.T) {
	c := admission.New(admission.Options{})
	c.SetCapacity(admission.Capacity{Slots: 16})

	now := epoch
	run := func(id string, tokens entity.Tokens, held time.Duration) {
		w := admission.Work{Request: entity.RequestID(id), Urgency: entity.Patient, Decode: tokens, Deadline: now.Add(time.Hour)}
		require.True(t, c.Offer(now, w).Accepted)
		require.Len(t, c.Next(now), 1)

		now = now.Add(held)
		c.Done(now, w.Request, admission.Usage{Decode: tokens})
	}

	for i := range 20 {
		run(fmt.Sprint("draft-", i), 1800, 70*time.Second)

		for j := range 5 {
			run(fmt.Sprint("grade-", i, "-", j), 12, 2*time.Second)
		}
	}

	draft := admission.Work{Request: "draft", Urgency: entity.Patient, Decode: 1800, Deadline: now.Add(4 * time.Minute)}
	require.True(t, c.Offer(now, draft).Accepted)
}
