package main

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is that of a difference that counts as one.
const confidence = 0.95

// difference is that of two commits over pairs of plays.
type difference struct {
	n            int
	mean, stdErr float64 // stdErr is infinite for less than two pairs
}

// differ returns the difference over pairs.
func differ(pairs []float64) difference {
	if len(pairs) < 2 {
		return difference{len(pairs), stat.Mean(pairs, nil), math.Inf(1)}
	}
	mean, deviation := stat.MeanStdDev(pairs, nil)
	return difference{len(pairs), mean, stat.StdErr(deviation, float64(len(pairs)))}
}

// String tells a difference that can be told from none by a t test, or that it cannot.
func (d difference) String() string {
	if d.n < 2 {
		return "not known"
	}
	verdict := "none"
	if limit := (distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(d.n - 1)}).Quantile((1 + confidence) / 2); math.Abs(d.mean) > limit*d.stdErr {
		verdict = "lower"
		if d.mean > 0 {
			verdict = "higher"
		}
	}
	return fmt.Sprintf("%+.3f ± %.3f %s", d.mean, d.stdErr, verdict)
}

// table returns the comparison as a Markdown table: the worth by seed, broken rules, and the difference of each commit
// from the first one, for each day and in all.
func table(o *options, cells []cell, plays []play) string {
	byKey := map[cell]map[string]*play{}
	for i := range plays {
		p := &plays[i]
		if byKey[p.cell] == nil {
			byKey[p.cell] = map[string]*play{}
		}
		byKey[p.cell][p.commit] = p
	}
	var b strings.Builder
	b.WriteString("| site | day |")
	for _, v := range o.versions {
		fmt.Fprintf(&b, " %s |", v.label)
	}
	for _, v := range o.versions[1:] {
		fmt.Fprintf(&b, " %s - %s |", v.label, o.versions[0].label)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", 1+2*len(o.versions)) + "\n")
	all := make([][]float64, len(o.versions))
	for _, row := range rows(cells) {
		fmt.Fprintf(&b, "| %s | %s |", row[0].site, row[0].day)
		pairs := make([][]float64, len(o.versions))
		for i, v := range o.versions {
			var words []string
			for _, c := range row {
				p := byKey[c][v.commit]
				words = append(words, describe(p))
				if first := byKey[c][o.versions[0].commit]; p != nil && first != nil {
					pairs[i] = append(pairs[i], p.worth-first.worth)
				}
			}
			all[i] = append(all[i], pairs[i]...)
			fmt.Fprintf(&b, " %s |", strings.Join(words, " "))
		}
		for i := range o.versions[1:] {
			fmt.Fprintf(&b, " %s |", differ(pairs[i+1]))
		}
		b.WriteString("\n")
	}
	b.WriteString("| all | |" + strings.Repeat(" |", len(o.versions)))
	for i := range o.versions[1:] {
		fmt.Fprintf(&b, " %s |", differ(all[i+1]))
	}
	b.WriteString("\n")
	return b.String()
}

// describe returns a play's worth, with the rules that it broke.
func describe(p *play) string {
	switch {
	case p == nil:
		return "not run"
	case len(p.broken) > 0:
		return fmt.Sprintf("%.3f (%s broken)", p.worth, strings.Join(p.broken, ", "))
	}
	return fmt.Sprintf("%.3f", p.worth)
}

// rows returns the cells by site and day, in the order in which these first come.
func rows(cells []cell) [][]cell {
	var list [][]cell
	index := map[cell]int{}
	for _, c := range cells {
		key := cell{site: c.site, day: c.day}
		i, known := index[key]
		if !known {
			i = len(list)
			index[key] = i
			list = append(list, nil)
		}
		list[i] = append(list[i], c)
	}
	return list
}
