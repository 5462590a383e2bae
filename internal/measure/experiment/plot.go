package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth       = 28 * vg.Centimeter
	plotHeight      = 24 * vg.Centimeter
	smoothingPoints = 6 // points of a timeline in the moving mean of goodput
)

// canvas is a drawing that can be written to a file.
type canvas interface {
	vg.CanvasSizer
	writeTo(f *os.File) error
}

type pngCanvas struct{ vgimg.PngCanvas }

func (c pngCanvas) writeTo(f *os.File) error {
	_, err := c.WriteTo(f)

	return err
}

type svgCanvas struct{ *vgsvg.Canvas }

func (c svgCanvas) writeTo(f *os.File) error {
	_, err := c.WriteTo(f)

	return err
}

// Plot draws the first seed over time into a PNG or SVG file: the goodput of each policy, the number of prefill engines
// under Reactive, Hysteresis and Chosen, and the share of prefill in the arriving work. The extension of file, .png or
// .svg, selects the format; others are an error.
func (r *Report) Plot(file string) (err error) {
	var c canvas

	switch filepath.Ext(file) {
	case ".png":
		c = pngCanvas{vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}}
	case ".svg":
		c = svgCanvas{vgsvg.New(plotWidth, plotHeight)}
	default:
		return Error.New("plot file %q must end in .png or .svg", file)
	}

	if err := r.draw(draw.New(c)); err != nil {
		return Error.Wrap(err)
	}

	f, err := os.Create(file)
	if err != nil {
		return Error.Wrap(err)
	}

	defer func() { err = errs.Combine(err, f.Close()) }()

	return Error.Wrap(c.writeTo(f))
}

func (r *Report) draw(dc draw.Canvas) error {
	panels := []func() (*plot.Plot, error){r.goodputPanel, r.rolesPanel, r.mixPanel}
	plots := make([][]*plot.Plot, len(panels))

	for i, panel := range panels {
		p, err := panel()
		if err != nil {
			return err
		}

		p.X.Label.Text = "minutes"
		p.Legend.Left = true
		plots[i] = []*plot.Plot{p}
	}

	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Centimeter, PadTop: vg.Centimeter / 2, PadRight: vg.Centimeter}
	for i, row := range plot.Align(plots, tiles, dc) {
		plots[i][0].Draw(row[0])
	}

	return nil
}

func (r *Report) goodputPanel() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: goodput by time of arrival, mean of a minute", r.Deployment)
	p.Y.Label.Text = "%"
	p.Y.Max = 100

	for i, x := range r.Results {
		err := addLine(p, x.Policy, policyColor(i), x.Timeline, func(j int) float64 {
			sum := Count{}
			for _, q := range x.Timeline[max(0, j-smoothingPoints+1) : j+1] {
				sum.merge(q.Count)
			}

			return 100 * sum.Share()
		})
		if err != nil {
			return nil, err
		}
	}

	return p, nil
}

func (r *Report) rolesPanel() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Engines in the prefill role"
	p.Y.Label.Text = "engines"
	p.Y.Min = 0

	for i, x := range r.Results {
		if x.Policy != Chosen && x.Policy != Reactive && x.Policy != Hysteresis {
			continue
		}

		err := addLine(p, x.Policy, policyColor(i), x.Timeline, func(j int) float64 { return float64(x.Timeline[j].Prefill) })
		if err != nil {
			return nil, err
		}
	}

	return p, nil
}

func (r *Report) mixPanel() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Part of the arriving work that is prefill, in engine-seconds"
	p.Y.Label.Text = "%"
	p.Y.Min, p.Y.Max = 0, 100

	if len(r.Results) == 0 {
		return p, nil
	}

	points := r.Results[0].Timeline

	return p, addLine(p, "mix", policyColor(0), points, func(j int) float64 { return 100 * points[j].Mix })
}

func policyColor(i int) color.Color { return plotutil.DarkColors[i%len(plotutil.DarkColors)] }

func addLine(p *plot.Plot, name string, c color.Color, points []Point, y func(int) float64) error {
	xys := make(plotter.XYs, len(points))
	for i := range points {
		xys[i] = plotter.XY{X: points[i].At / 60, Y: y(i)}
	}

	line, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}

	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)

	return nil
}
