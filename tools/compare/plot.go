package main

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotSeconds writes a plot of the share served by second, as a mean over all plays of each commit.
func plotSeconds(o *options, plays []play, file string) error {
	const width, height = 24 * vg.Centimeter, 10 * vg.Centimeter
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second of the day", "share served"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, v := range o.versions {
		lines = append(lines, v.label, meanSeconds(plays, v.commit))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// meanSeconds returns the mean share by second over the plays of a commit.
func meanSeconds(plays []play, commit string) plotter.XYs {
	sum, count := map[float64]float64{}, map[float64]float64{}
	for i := range plays {
		if plays[i].commit != commit {
			continue
		}
		for _, s := range plays[i].seconds {
			sum[s.at] += s.share
			count[s.at]++
		}
	}
	var line plotter.XYs
	for at, n := range count {
		line = append(line, plotter.XY{X: at, Y: sum[at] / n})
	}
	slices.SortFunc(line, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return line
}
