package burnreport

import (
	"bytes"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// Registers the SVG canvas with vg.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter

	maxHistorySeries = 6
	maxCauseSeries   = 8
	maxNameLength    = 18
)

// drawHistory plots the burn rates of the worst maxHistorySeries series over the last six hours, as SVG.
func drawHistory(list []burnrate.Series) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Burn rate of the worst request kinds, last six hours (UTC)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)

	for i, s := range list[:min(len(list), maxHistorySeries)] {
		points := make(plotter.XYs, len(s.History))
		for j, point := range s.History {
			points[j] = plotter.XY{X: float64(point.At.Unix()), Y: point.Burn}
		}

		if len(points) == 0 {
			continue
		}

		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, Error.Wrap(err)
		}

		line.StepStyle = plotter.PostStep
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(2)
		p.Add(line)
		p.Legend.Add(seriesName(s), line)
	}

	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.Color = color.Gray{Y: 120}
	budget.Dashes = plotutil.Dashes(1)
	p.Add(budget)
	p.Legend.Add("budget just used up", budget)
	placeLegend(p)

	return renderSVG(p)
}

// hourTicks returns a tick for each full hour between low and high, in Unix seconds.
func hourTicks(low, high float64) []plot.Tick {
	const hour = 3600

	var ticks []plot.Tick

	for at := math.Ceil(low/hour) * hour; at <= high; at += hour {
		label := time.Unix(int64(at), 0).UTC().Format("15:04")
		ticks = append(ticks, plot.Tick{Value: at, Label: label})
	}

	return ticks
}

// placeLegend puts the legend at the top left, with room for it above the data.
func placeLegend(p *plot.Plot) {
	const headroom = 1.5

	p.Legend.Top = true
	p.Legend.Left = true
	p.Y.Max *= headroom
}

// drawCauses plots the bad requests of the worst maxCauseSeries series by cause, as an SVG bar chart.
func drawCauses(list []burnrate.Series) ([]byte, error) {
	list = list[:min(len(list), maxCauseSeries)]
	p := plot.New()
	p.Title.Text = "Requests that missed their objective, by cause"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0

	var previous *plotter.BarChart

	for e := burnrate.Refused; e <= burnrate.RoleChange; e++ {
		values := make(plotter.Values, len(list))
		total := 0.0

		for i, s := range list {
			for _, c := range s.Causes {
				if c.Event == e {
					values[i] = float64(c.Count)
					total += values[i]
				}
			}
		}

		if total == 0 {
			continue
		}

		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, Error.Wrap(err)
		}

		bars.Color = plotutil.Color(int(e))
		bars.LineStyle.Width = 0

		if previous != nil {
			bars.StackOn(previous)
		}

		previous = bars
		p.Add(bars)
		p.Legend.Add(e.String(), bars)
	}

	names := make([]string, len(list))
	for i, s := range list {
		names[i] = seriesName(s)
	}

	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(list))-0.5
	placeLegend(p)

	return renderSVG(p)
}

func seriesName(s burnrate.Series) string {
	return truncate(string(s.Account)) + " / " + truncate(string(s.Kind))
}

func truncate(text string) string {
	runes := []rune(replaceControl(text))
	if len(runes) > maxNameLength {
		return string(runes[:maxNameLength]) + "…"
	}

	return string(runes)
}

// renderSVG renders p without the XML header, which is not allowed inside an HTML page.
func renderSVG(p *plot.Plot) ([]byte, error) {
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, Error.Wrap(err)
	}

	_, image, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return nil, Error.New("plot without svg element")
	}

	return append([]byte("<svg"), image...), nil
}
