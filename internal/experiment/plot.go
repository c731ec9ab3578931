package experiment

import (
	"io"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotColumns = 2
	plotWidth   = 14 * vg.Centimeter // of one plot
	plotHeight  = 9 * vg.Centimeter
	plotGap     = 5 * vg.Millimeter
)

// WritePlot writes plots as SVG with a line for each policy: for each class the cumulative
// distribution of the time to first event, and the refusals over time.
func (f *File) WritePlot(w io.Writer, runs []Run) error {
	var plots []*plot.Plot
	for class := range f.Load {
		p, err := f.plotFirstEvents(runs, class)
		if err != nil {
			return err
		}
		plots = append(plots, p)
	}
	refusals, err := f.plotRefusals(runs)
	if err != nil {
		return err
	}
	return writeTiles(w, append(plots, refusals))
}

// writeTiles draws plots in a grid.
func writeTiles(w io.Writer, plots []*plot.Plot) error {
	rows := (len(plots) + plotColumns - 1) / plotColumns
	grid := make([][]*plot.Plot, rows)
	for i := range grid {
		grid[i] = make([]*plot.Plot, plotColumns)
	}
	for i, p := range plots {
		grid[i/plotColumns][i%plotColumns] = p
	}
	canvas := vgsvg.New(plotColumns*plotWidth, vg.Length(rows)*plotHeight)
	tiles := draw.Tiles{Rows: rows, Cols: plotColumns, PadX: plotGap, PadY: plotGap, PadTop: plotGap, PadBottom: plotGap, PadLeft: plotGap, PadRight: plotGap}
	for i, line := range plot.Align(grid, tiles, draw.New(canvas)) {
		for j, tile := range line {
			if grid[i][j] != nil {
				grid[i][j].Draw(tile)
			}
		}
	}
	_, err := canvas.WriteTo(w)
	return err
}

func (f *File) plotFirstEvents(runs []Run, class int) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = f.Load[class].Name + ": time to first event"
	p.X.Label.Text, p.Y.Label.Text = "ms (median over seeds)", "fraction of served requests"
	p.Y.Min, p.Y.Max = 0, 1
	p.X.Min = 0
	for i, policy := range f.Policies {
		if err := addLine(p, i, policy.Name, firstEvents(f.policyRuns(runs, policy.Name), class)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// firstEvents returns the median over seeds of each percentile of the time to first event.
func firstEvents(runs []Run, class int) plotter.XYs {
	var line plotter.XYs
	for at := 0; at <= maxPercent/percentileStep; at++ {
		m := Measure{value: firstEvent(at)}
		if ms := Median(withoutNaN(values(runs, class, &m))).Value; !math.IsNaN(ms) {
			line = append(line, plotter.XY{X: ms, Y: float64(at*percentileStep) / maxPercent})
		}
	}
	return line
}

func (f *File) plotRefusals(runs []Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "refusals"
	p.X.Label.Text, p.Y.Label.Text = "s", "refusals per second (mean over seeds)"
	p.X.Min, p.Y.Min = 0, 0
	p.Y.Max = 1
	p.Legend.Top = true
	seconds := int(time.Duration(f.Length).Seconds())
	for i, policy := range f.Policies {
		if err := addLine(p, i, policy.Name, refusals(f.policyRuns(runs, policy.Name), seconds)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// refusals returns the mean number of refusals in each second, for at least the given number of
// seconds.
func refusals(runs []Run, seconds int) plotter.XYs {
	for i := range runs {
		seconds = max(seconds, len(runs[i].Refusals))
	}
	line := make(plotter.XYs, seconds)
	for i := range line {
		line[i].X = float64(i)
		for j := range runs {
			if i < len(runs[j].Refusals) {
				line[i].Y += float64(runs[j].Refusals[i]) / float64(len(runs))
			}
		}
	}
	return line
}

// addLine adds the line of a policy and its name to the plot. The policy is in the legend even if it
// has no points.
func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		points = plotter.XYs{{}}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
