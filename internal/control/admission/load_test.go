package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// hostCapacity is the capacity of about two mixed engines.
var hostCapacity = admission.Capacity{PrefillPerSecond: 16_000, DecodePerSecond: 4_000, Slots: 64}

func urgentCheck(account string) admission.Work {
	return admission.Work{
		Account: entity.AccountID(account), Kind: "booking-check", Urgency: entity.Urgent, Prefill: 400, Decode: 40,
	}
}

func ordinaryRewrite(account string) admission.Work {
	return admission.Work{
		Account: entity.AccountID(account), Kind: "rewrite", Urgency: entity.Ordinary, Prefill: 1500, Decode: 200,
	}
}

func patientReport(account string) admission.Work {
	return admission.Work{
		Account: entity.AccountID(account), Kind: "report", Urgency: entity.Patient, Prefill: 6000, Decode: 1200,
	}
}

// Urgent work within the capacity arrives together with a wave of long patient reports and with ordinary work
// beyond the capacity. In each phase at least 99 in 100 urgent requests end within their deadline, and so does
// each accepted patient report.
func TestUrgentAndAcceptedPatientWorkMeetDeadlinesUnderOverload(t *testing.T) {
	f := newFleet(hostCapacity)

	phases := []struct {
		name              string
		length            time.Duration
		ordinary, reports float64
	}{
		{"calm", 20 * time.Second, 2.0, 0.1},
		{"wave of reports", 40 * time.Second, 2.0, 3.0},
		{"ordinary overload", 40 * time.Second, 40.0, 0.5},
		{"both", 40 * time.Second, 40.0, 3.0},
		{"after", 300 * time.Second, 1.0, 0.05},
	}

	for _, phase := range phases {
		before := f.result("booking-check").bad()
		offered := f.result("booking-check").offered

		f.forEach(phase.length, func(due func(float64) int) {
			for range due(8.01) {
				f.offer(urgentCheck("app"), 2*time.Second)
			}

			for range due(phase.ordinary) {
				f.offer(ordinaryRewrite("site"), 8*time.Second)
			}

			for range due(phase.reports + 0.001) {
				f.offer(patientReport("survey"), 5*time.Minute)
			}
		})

		u := f.result("booking-check")
		bad := float64(u.bad()-before) / float64(u.offered-offered)
		t.Logf("%-18s urgent bad %.4f, ordinary %s", phase.name, bad, f.result("rewrite").summary())
		require.LessOrEqual(t, bad, 0.01, phase.name)
	}

	f.forEach(60*time.Second, func(func(float64) int) {})

	report := f.result("report")
	t.Logf("patient %s", report.summary())
	require.Zero(t, report.expired)
	require.Zero(t, report.late)
	require.Equal(t, report.offered, report.refused+report.good)
	require.Less(t, report.refused, report.offered/10)
}

func (o *outcome) bad() int {
	return o.refused + o.expired + o.late
}

func (o *outcome) summary() string {
	return fmt.Sprintf("offered %d refused %d expired %d good %d late %d", o.offered, o.refused, o.expired, o.good, o.late)
}

// One account offers three times the decode rate and over five times the prefill rate of the host. At least 95 in
// 100 requests of small accounts of the same urgency still end within their deadline.
func TestFloodOfOneAccountLeavesTheOthersTheirShare(t *testing.T) {
	f := newFleet(hostCapacity)

	f.forEach(60*time.Second, func(due func(float64) int) {
		for range due(60.0) {
			f.offer(ordinaryRewrite("flood"), 8*time.Second)
		}

		for i := range 10 {
			for range due(0.3 + float64(i)/1e6) {
				w := ordinaryRewrite(fmt.Sprintf("small-%d", i))
				w.Kind = "small"
				f.offer(w, 8*time.Second)
			}
		}
	})

	small := f.result("small")
	t.Logf("small %s; flood %s", small.summary(), f.result("rewrite").summary())
	require.LessOrEqual(t, float64(small.bad()), 0.05*float64(small.offered))
}

// Callers that retry at once after each refusal, up to ten times, do not lower the goodput below that of the
// same load without retries.
func TestRetryStormKeepsGoodput(t *testing.T) {
	goodput := func(retries int) (int, *outcome) {
		f := newFleet(hostCapacity)
		tries := map[entity.AccountID]int{}
		var pending []entity.AccountID

		f.onRefuse = func(w admission.Work, _ admission.Decision) {
			if tries[w.Account] < retries {
				tries[w.Account]++
				pending = append(pending, w.Account)
			}
		}

		n := 0
		f.forEach(60*time.Second, func(due func(float64) int) {
			retrying := pending
			pending = nil

			for _, a := range retrying {
				f.offer(ordinaryRewrite(string(a)), 8*time.Second)
			}

			for range due(40) {
				n++
				f.offer(ordinaryRewrite(fmt.Sprintf("caller-%d", n)), 8*time.Second)
			}
		})

		r := f.result("rewrite")

		return r.good, r
	}

	calm, _ := goodput(0)
	storm, r := goodput(10)
	t.Logf("good without retries %d, with %d: %s", calm, storm, r.summary())
	require.GreaterOrEqual(t, float64(storm), 0.98*float64(calm))
	require.LessOrEqual(t, r.late, r.good/100)
	require.LessOrEqual(t, r.expired, r.offered/20, "overload is refused on arrival, not after a wait")
}

// Under overload, work is refused on arrival, and RetryAfter grows with the wait in the queue.
func TestRefusalReflectsTheQueue(t *testing.T) {
	f := newFleet(hostCapacity)

	var refusals []admission.Decision

	for range 400 {
		if d := f.offer(patientReport("survey"), 2*time.Minute); !d.Accepted {
			refusals = append(refusals, d)
		}
	}

	require.NotEmpty(t, refusals)

	for _, d := range refusals {
		require.Equal(t, "not-run", d.Error().Verdict.String())
		require.Positive(t, d.RetryAfter)
	}

	small := newFleet(admission.Capacity{PrefillPerSecond: 160, DecodePerSecond: 40, Slots: 1})
	small.offer(patientReport("survey"), 2*time.Minute)
	longer := small.offer(patientReport("survey"), 31*time.Second)
	require.False(t, longer.Accepted)
	require.Greater(t, longer.RetryAfter, refusals[0].RetryAfter)
}

// The RetryAfter of patient work is the part of its wait beyond its own deadline, however late that deadline
// is.
func TestRetryAfterOfPatientWorkDependsOnItsDeadline(t *testing.T) {
	const within = 20 * time.Minute

	c := admission.New(admission.Options{MaxQueuedPerAccount: 10_000})
	c.SetCapacity(admission.Capacity{PrefillPerSecond: 1000, Slots: 10})

	for i := range 10_000 {
		d := c.Offer(epoch, admission.Work{
			Request: entity.RequestID(fmt.Sprint(i)), Urgency: entity.Patient, Prefill: 1000, Deadline: epoch.Add(within),
		})

		if !d.Accepted {
			// The queue is one second of work too long, and patient work can expect nine tenths of the capacity.
			require.LessOrEqual(t, d.RetryAfter, 3*time.Second)

			return
		}
	}

	t.Fatal("nothing was refused")
}
