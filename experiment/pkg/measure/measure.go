// Package measure contains the measurements of the experiment program, one in each file.
package measure

import (
	"fmt"
	"image/color"
	"io"
	"path/filepath"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// columnPadding is the number of spaces between the columns of a printed table.
	columnPadding = 2
	plotWidth     = 18 * vg.Centimeter
	plotHeight    = 9 * vg.Centimeter
)

// series is a named line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// newTable prints the title and returns a writer that aligns tab-separated columns and must be flushed.
func newTable(w io.Writer, title string) *tabwriter.Writer {
	fmt.Fprintln(w, "\n== "+title)
	return tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
}

// writePlot writes a plot of the series, as lines, to an SVG file in folder. x and y are the labels of the axes.
func writePlot(folder, file, title, x, y string, lines []series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	colors := []color.Color{
		color.RGBA{R: 0x1b, G: 0x5e, B: 0xa8, A: 0xff},
		color.RGBA{R: 0xc2, G: 0x41, B: 0x0c, A: 0xff},
		color.RGBA{R: 0x2e, G: 0x7d, B: 0x32, A: 0xff},
	}
	for i, s := range lines {
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = colors[i%len(colors)]
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(folder, file)))
}
