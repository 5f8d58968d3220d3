// Package plots writes measurements as a tab-separated table and an SVG plot.
//
// # Usage
//
//	figure := plots.New("cpu_per_node", "nodes", "percent of a core")
//	figure.Add("idle", 8, 0.4)
//	err := figure.Write("docs/figures")
package plots

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width    = 16 * vg.Centimeter
	height   = 10 * vg.Centimeter
	fileMode = 0o644
)

type (
	// Figure is a set of named series over a common x axis.
	Figure struct {
		name   string
		xLabel string
		yLabel string
		series map[string]plotter.XYs
	}

	// Line is a straight line fitted to a series.
	Line struct {
		// Slope is the increase of y per unit of x.
		Slope float64
		// Intercept is y at x = 0.
		Intercept float64
	}
)

// New returns an empty figure; name is the base name of its files.
func New(name, xLabel, yLabel string) *Figure {
	return &Figure{name: name, xLabel: xLabel, yLabel: yLabel, series: make(map[string]plotter.XYs)}
}

// Add adds a point to a series.
func (f *Figure) Add(series string, x, y float64) {
	f.series[series] = append(f.series[series], plotter.XY{X: x, Y: y})
}

// Fit returns the least-squares line of a series over the points with x >= minX.
func (f *Figure) Fit(series string, minX float64) Line {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range f.series[series] {
		if p.X < minX {
			continue
		}
		n++
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return Line{Intercept: sumY / max(1, n)}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return Line{Slope: slope, Intercept: (sumY - slope*sumX) / n}
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Table returns the points as tab-separated lines.
func (f *Figure) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "series\t%s\t%s\n", f.xLabel, f.yLabel)
	for _, name := range f.names() {
		for _, p := range f.series[name] {
			fmt.Fprintf(&out, "%s\t%g\t%.4g\n", name, p.X, p.Y)
		}
	}
	return out.String()
}

// Fits returns a text line for each series: the line fitted to its points with
// x >= minX, and its value at x.
func (f *Figure) Fits(minX, x float64) string {
	var out strings.Builder
	for _, name := range f.names() {
		line := f.Fit(name, minX)
		fmt.Fprintf(&out, "%s, %s: %.4g + %.4g * %s; at %g: %.4g\n",
			f.yLabel, name, line.Intercept, line.Slope, f.xLabel, x, line.At(x))
	}
	return out.String()
}

// Write writes the table (.tsv) and the plot (.svg) into a directory.
func (f *Figure) Write(dir string) error {
	table := filepath.Join(dir, f.name+".tsv")
	if err := os.WriteFile(table, []byte(f.Table()), fileMode); err != nil {
		return fmt.Errorf("writing the table of a figure: %w", err)
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = f.xLabel, f.yLabel
	p.Y.Min = 0
	var lines []any
	for _, name := range f.names() {
		lines = append(lines, name, f.series[name])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("drawing %s: %w", f.name, err)
	}
	if err := p.Save(width, height, filepath.Join(dir, f.name+".svg")); err != nil {
		return fmt.Errorf("writing the plot of a figure: %w", err)
	}
	return nil
}

func (f *Figure) names() []string {
	names := make([]string, 0, len(f.series))
	for name := range f.series {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
