package kqslope

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	l := Fit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(l.Intercept-3) > 1e-9 || math.Abs(l.Slope-2) > 1e-9 || l.Residual > 1e-9 {
		t.Fatalf("%+v", l)
	}
}
