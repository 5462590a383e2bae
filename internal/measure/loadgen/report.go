package loadgen

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	histMax    = int64(time.Hour / time.Microsecond) // largest value of a histogram, in microseconds; longer times count as histMax
	histDigits = 3                                   // significant digits of a histogram
)

// Percentiles holds percentiles of a latency over the answers with the expected content, in milliseconds. They are zero
// without such answers.
type Percentiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Row holds the results of the requests of one kind, or of all kinds.
type Row struct {
	Kind          entity.KindName `json:"kind"`
	Offered       int             `json:"offered"`
	Whole         int             `json:"whole"`          // complete answers with the expected content
	Good          int             `json:"good"`           // whole answers within the objective
	Wrong         int             `json:"wrong"`          // complete answers with other content
	Tokens        int             `json:"tokens"`         // output tokens of the whole answers
	FirstToken    Percentiles     `json:"first-token"`    // time until the first token
	BetweenTokens Percentiles     `json:"between-tokens"` // mean time between the tokens of an answer
}

// Goodput returns the share of good answers in the requests offered, or zero if there were none.
func (r Row) Goodput() float64 {
	return float64(r.Good) / float64(max(r.Offered, 1))
}

// Problem counts the requests of a kind that failed for the same reason, such as the verdict and code of the answer, a
// wrong answer or a lost connection.
type Problem struct {
	Kind   entity.KindName `json:"kind"`
	Reason string          `json:"reason"`
	Count  int             `json:"count"`
}

// Report holds the results of a run.
type Report struct {
	Took     time.Duration `json:"took"` // duration of the run, in nanoseconds
	All      Row           `json:"all"`
	Kinds    []Row         `json:"kinds"` // the kinds with offered requests
	Problems []Problem     `json:"problems"`
}

// WriteText writes r as text tables.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintln(tw, "kind\toffered\twhole\tgood\twrong\tgoodput\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\t")

	for _, row := range append(slices.Clone(r.Kinds), r.All) {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t\n", row.Kind, row.Offered, row.Whole, row.Good, row.Wrong,
			100*row.Goodput(), row.FirstToken, row.BetweenTokens)
	}

	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}

	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "%s: %d x %s\n", p.Kind, p.Count, p.Reason); err != nil {
			return Error.Wrap(err)
		}
	}

	_, err := fmt.Fprintf(w, "Times are in milliseconds. Good answers are complete and within the objective. Took %v.\n",
		r.Took.Round(time.Millisecond))

	return Error.Wrap(err)
}

// String returns the percentiles as table cells, separated by tabs.
func (p Percentiles) String() string {
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", p.P50, p.P95, p.P99)
}

// tally counts outcomes by kind. It is not safe for concurrent use.
type tally struct {
	start    time.Time
	rows     []rowTally      // by index of the kind; the last row counts all kinds
	problems map[Problem]int // number of requests, by Problem with a Count of zero
}

// rowTally is a Row with the histograms that its percentiles come from.
type rowTally struct {
	Row

	objective entity.Objective
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
}

func newRowTally(name entity.KindName) rowTally {
	return rowTally{
		Row: Row{Kind: name}, first: hdrhistogram.New(1, histMax, histDigits), between: hdrhistogram.New(1, histMax, histDigits),
	}
}

func newTally(kinds []trace.Kind) *tally {
	t := &tally{start: time.Now(), problems: map[Problem]int{}}

	for _, k := range kinds {
		row := newRowTally(k.Name)
		row.objective = k.Objective
		t.rows = append(t.rows, row)
	}

	t.rows = append(t.rows, newRowTally("all"))

	return t
}

// add counts the outcome of a request of the kind with that index.
func (t *tally) add(kind int, out outcome) {
	good := out.good(t.rows[kind].objective)

	for _, row := range []*rowTally{&t.rows[kind], &t.rows[len(t.rows)-1]} {
		row.add(out, good)
	}

	if out.problem != "" {
		t.problems[Problem{Kind: t.rows[kind].Kind, Reason: out.problem}]++
	}
}

func (r *rowTally) add(out outcome, good bool) {
	r.Offered++

	if out.wrong {
		r.Wrong++
	}

	if good {
		r.Good++
	}

	if !out.whole {
		return
	}

	r.Whole++
	r.Tokens += out.tokens
	record(r.first, out.first)

	if out.tokens > 1 {
		record(r.between, out.between())
	}
}

// record adds d to h, in microseconds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histMax)) // cannot fail, as the value is in range
}

// percentiles returns the percentiles of h, whose values are microseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }

	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// report returns the results so far.
func (t *tally) report() Report {
	r := Report{Took: time.Since(t.start), Problems: []Problem{}}

	for i, row := range t.rows {
		row.FirstToken, row.BetweenTokens = percentiles(row.first), percentiles(row.between)

		switch {
		case i == len(t.rows)-1:
			r.All = row.Row
		case row.Offered > 0:
			r.Kinds = append(r.Kinds, row.Row)
		}
	}

	for p, n := range t.problems {
		p.Count = n
		r.Problems = append(r.Problems, p)
	}

	slices.SortFunc(r.Problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})

	return r
}
