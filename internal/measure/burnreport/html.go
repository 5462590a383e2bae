package burnreport

import (
	_ "embed" // for the page's template
	"html/template"
	"io"

	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageData is the input of the template.
type pageData struct {
	At, Headline, Totals, Gaps string
	Plots                      []template.HTML
	Series                     []pageSeries
}

type pageSeries struct {
	Account, Kind, State string
	Sentences            []string
	Windows              []pageWindow
}

type pageWindow struct {
	Span     string
	Requests uint64
	Bad      uint64
	Burn     float64
}

// HTML writes r as a self-contained page with inline plots.
func HTML(w io.Writer, r burnrate.Report) error {
	data := pageData{
		At:       r.At.UTC().Format(timeLayout),
		Headline: headline(r),
		Totals:   totals(r),
		Gaps:     gaps(r),
	}

	list := notOK(r)
	if len(list) > 0 {
		for _, draw := range []func([]burnrate.Series) ([]byte, error){drawHistory, drawCauses} {
			svg, err := draw(list)
			if err != nil {
				return err
			}

			// No escaping is needed: the plots are generated here, with the names in them escaped.
			data.Plots = append(data.Plots, template.HTML(svg))
		}
	}

	for _, s := range list {
		data.Series = append(data.Series, newPageSeries(s))
	}

	return Error.Wrap(page.Execute(w, data))
}

func newPageSeries(s burnrate.Series) pageSeries {
	p := pageSeries{
		Account:   string(s.Account),
		Kind:      string(s.Kind),
		State:     s.State.String(),
		Sentences: sentences(s),
	}

	for _, win := range s.Windows {
		p.Windows = append(p.Windows, pageWindow{spanName(win.Span), win.Good + win.Bad, win.Bad, win.Burn})
	}

	return p
}
