package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Error is the class of this package's errors.
var Error = errs.Class("experiment")

// WriteText writes r as text tables.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := printer{w: tw}

	p.line("%s, %d seeds\n", r.Deployment, r.Seeds)
	p.line("policy\tgoodput %%\turgent %%\tordinary %%\tpatient %%\tlost patient\tchanges\taway s\tfirst token ms 50/95/99\tbetween tokens ms 50/95/99\t\n")

	for _, x := range r.Results {
		p.line("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%.0f\t%s\t%s\t\n",
			x.Policy, 100*x.All.Share(), goodPercent(x, entity.Urgent), goodPercent(x, entity.Ordinary), goodPercent(x, entity.Patient),
			x.LostPatient, x.RoleChanges, x.EngineSecondsLost, x.FirstToken, x.BetweenTokens)
	}

	p.flush(tw)
	r.writePhases(&p, tw)
	r.writeKinds(&p, tw)

	for _, g := range r.Goals {
		met := "met"
		if !g.Met {
			met = "MISSED"
		}

		p.line("%s:\t%s\t(%s)\t\n", g.Name, met, g.Figure)
	}

	p.flush(tw)

	return Error.Wrap(p.err)
}

// goodPercent returns the goodput of the requests of urgency u in percent.
func goodPercent(x *Result, u entity.Urgency) float64 { return 100 * x.Urgency[u.String()].Share() }

// String returns the three percentiles, separated by slashes.
func (p Percentiles) String() string { return fmt.Sprintf("%.0f/%.0f/%.0f", p.P50, p.P95, p.P99) }

// writePhases writes the goodput of all requests and of the urgent ones, by phase of arrival.
func (r *Report) writePhases(p *printer, tw *tabwriter.Writer) {
	r.writeRows(p, "goodput % (urgent %)", r.phases, func(x *Result, phase string) string {
		return fmt.Sprintf("%.1f (%.1f)", 100*x.Phases[phase].Share(), 100*x.UrgentByPhase[phase].Share())
	})
	p.flush(tw)
}

// writeKinds writes the goodput by request kind.
func (r *Report) writeKinds(p *printer, tw *tabwriter.Writer) {
	r.writeRows(p, "goodput %", r.kinds, func(x *Result, kind string) string {
		return fmt.Sprintf("%.2f", 100*x.Kinds[entity.KindName(kind)].Share())
	})
	p.flush(tw)
}

// writeRows writes a table with a row for each of rows and a column for each policy.
func (r *Report) writeRows(p *printer, title string, rows []string, cell func(x *Result, row string) string) {
	p.line("%s\t", title)

	for _, x := range r.Results {
		p.line("%s\t", x.Policy)
	}

	p.line("\n")

	for _, row := range rows {
		p.line("%s\t", row)

		for _, x := range r.Results {
			p.line("%s\t", cell(x, row))
		}

		p.line("\n")
	}
}

// printer writes text and keeps the first error, after which it writes no more.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) flush(tw *tabwriter.Writer) {
	p.line("\n")

	if p.err == nil {
		p.err = tw.Flush()
	}
}
