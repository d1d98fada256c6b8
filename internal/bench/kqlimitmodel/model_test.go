package kqlimitmodel

import "testing"

func TestPrint(t *testing.T) {
	for _, b := range []float64{1, 0} {
		for _, f := range Faults {
			for _, w := range Ways {
				t.Logf("burst %v %-8s %-10s %+v", b, f, w, Play(w, f, b, 1))
			}
		}
	}
}
