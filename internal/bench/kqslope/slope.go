package kqslope

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured host, or the mean of several of one role.
type Point struct {
	Series       string  `json:"series"` // what was varied
	X            float64 `json:"x"`      // how much of it
	Role         string  `json:"role"`
	CPUPercent   float64 `json:"processor"` // percent of one core
	MemoryMB     float64 `json:"memory"`    // resident MB
	SentRate     float64 `json:"sent"`      // bytes a second over links
	ReceivedRate float64 `json:"received"`
}

// measures are the columns of a Point.
var metrics = []struct {
	name string
	of   func(Point) float64
}{
	{"processor %", func(p Point) float64 { return p.CPUPercent }},
	{"memory MB", func(p Point) float64 { return p.MemoryMB }},
	{"sent B/s", func(p Point) float64 { return p.SentRate }},
	{"received B/s", func(p Point) float64 { return p.ReceivedRate }},
}

// Line is a least squares fit of one measure.
type Line struct {
	Intercept, Slope float64
	Residual         float64 // root mean square distance of the points
}

// Fit fits a line through at least two points.
func Fit(x, y []float64) Line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	sum := 0.0
	for i := range x {
		d := y[i] - base - slope*x[i]
		sum += d * d
	}
	return Line{Intercept: base, Slope: slope, Residual: math.Sqrt(sum / float64(len(x)))}
}

// Read reads points, one JSON document a line.
func Read(r io.Reader) ([]Point, error) {
	var list []Point
	s := bufio.NewScanner(r)
	for s.Scan() {
		var p Point
		if err := json.Unmarshal(s.Bytes(), &p); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, s.Err()
}

// group is the points of one series and role.
type groupKey struct{ series, role string }

// Print writes the points and the lines through them.
func Print(w io.Writer, points []Point) {
	groups := map[groupKey][]Point{}
	for _, p := range points {
		g := groupKey{p.Series, p.Role}
		groups[g] = append(groups[g], p)
	}
	var order []groupKey
	for g := range groups {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.series, b.series), cmp.Compare(a.role, b.role))
	})
	for _, g := range order {
		printGroup(w, g, groups[g])
	}
}

func printGroup(w io.Writer, g groupKey, list []Point) {
	slices.SortFunc(list, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	fmt.Fprintf(w, "\n%s, role %s\n%14s", g.series, g.role, "x")
	for _, p := range list {
		fmt.Fprintf(w, "%10.0f", p.X)
	}
	fmt.Fprintf(w, "%12s%12s%10s\n", "base", "slope", "residual")
	x := column(list, func(p Point) float64 { return p.X })
	for _, m := range metrics {
		y := column(list, m.of)
		fmt.Fprintf(w, "%14s", m.name)
		for _, v := range y {
			fmt.Fprintf(w, "%10.2f", v)
		}
		if len(list) < 2 {
			fmt.Fprintln(w)
			continue
		}
		l := Fit(x, y)
		fmt.Fprintf(w, "%12.3f%12.5f%10.3f\n", l.Intercept, l.Slope, l.Residual)
	}
}

func column(list []Point, of func(Point) float64) []float64 {
	out := make([]float64, len(list))
	for i, p := range list {
		out[i] = of(p)
	}
	return out
}
