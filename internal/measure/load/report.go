package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	longest = int64(time.Hour / time.Microsecond) // that a histogram tells apart
	digits  = 3
)

// Times are percentiles of whole answers, in milliseconds; all zero without any.
type Times struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Row is what came of the requests of one kind, or of all.
type Row struct {
	Kind       table.KindName `json:"kind"`
	Offered    int            `json:"offered"`
	Whole      int            `json:"whole"`
	Good       int            `json:"good"` // whole and within the objective
	Wrong      int            `json:"wrong"`
	Tokens     int            `json:"tokens"` // of whole answers
	FirstToken Times          `json:"first-token"`
	Between    Times          `json:"between-tokens"`
}

// Goodput returns the good share of what was offered; zero if nothing was.
func (r Row) Goodput() float64 {
	return float64(r.Good) / float64(max(r.Offered, 1))
}

// Problem is a way in which requests failed, with its verdict.
type Problem struct {
	Kind   table.KindName `json:"kind"`
	Reason string         `json:"reason"`
	Count  int            `json:"count"`
}

// Report is what came of a run.
type Report struct {
	Took     time.Duration `json:"took"` // nanoseconds
	All      Row           `json:"all"`
	Kinds    []Row         `json:"kinds"`
	Problems []Problem     `json:"problems"`
}

// Text writes r as tables.
func (r Report) Text(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintln(tw, "kind\toffered\twhole\tgood\twrong\tgoodput\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\t")

	for _, row := range append(slices.Clone(r.Kinds), r.All) {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t\n", row.Kind, row.Offered, row.Whole, row.Good, row.Wrong,
			100*row.Goodput(), row.FirstToken, row.Between)
	}

	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}

	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "%s: %d x %s\n", p.Kind, p.Count, p.Reason); err != nil {
			return Error.Wrap(err)
		}
	}

	_, err := fmt.Fprintf(w, "Times in milliseconds; good are whole answers within the objective. Took %v.\n", r.Took.Round(time.Millisecond))

	return Error.Wrap(err)
}

// String returns the percentiles as cells of a table.
func (t Times) String() string {
	return fmt.Sprintf("%.1f\t%.1f\t%.1f", t.P50, t.P95, t.P99)
}

// tally counts outcomes by kind.
type tally struct {
	start    time.Time
	rows     []counted // the last one is of all kinds
	problems map[Problem]int
}

type counted struct {
	Row

	objective table.Objective
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
}

func newCounted(name table.KindName) counted {
	return counted{
		Row: Row{Kind: name}, first: hdrhistogram.New(1, longest, digits), between: hdrhistogram.New(1, longest, digits),
	}
}

func newTally(kinds []trace.Kind) *tally {
	t := &tally{start: time.Now(), problems: map[Problem]int{}}

	for _, k := range kinds {
		c := newCounted(k.Name)
		c.objective = k.Objective
		t.rows = append(t.rows, c)
	}

	t.rows = append(t.rows, newCounted("all"))

	return t
}

func (t *tally) add(kind int, out outcome) {
	good := out.good(t.rows[kind].objective)

	for _, row := range []*counted{&t.rows[kind], &t.rows[len(t.rows)-1]} {
		row.add(out, good)
	}

	if out.problem != "" {
		t.problems[Problem{Kind: t.rows[kind].Kind, Reason: out.problem}]++
	}
}

func (c *counted) add(out outcome, good bool) {
	c.Offered++

	if out.wrong {
		c.Wrong++
	}

	if good {
		c.Good++
	}

	if !out.whole {
		return
	}

	c.Whole++
	c.Tokens += out.tokens
	record(c.first, out.first)

	if out.tokens > 1 {
		record(c.between, out.between())
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest)) // in range, so it does not fail
}

func times(h *hdrhistogram.Histogram) Times {
	at := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }

	return Times{P50: at(50), P95: at(95), P99: at(99)}
}

func (t *tally) report() Report {
	r := Report{Took: time.Since(t.start), Problems: []Problem{}}

	for i, c := range t.rows {
		c.FirstToken, c.Between = times(c.first), times(c.between)

		switch {
		case i == len(t.rows)-1:
			r.All = c.Row
		case c.Offered > 0:
			r.Kinds = append(r.Kinds, c.Row)
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
