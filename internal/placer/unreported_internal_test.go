package placer

import (
	"testing"

	"github.com/shoenig/test"
)

func TestFillLevel(t *testing.T) {
	for _, tc := range []struct {
		values []float64
		amount float64
		level  float64
	}{
		{[]float64{10}, 5, 15},
		{[]float64{30, 10}, 5, 15},
		{[]float64{30, 10}, 20, 30},
		{[]float64{30, 10, 50}, 60, 50},
		{[]float64{30, 10, 50}, 90, 60},
		{[]float64{7, 7}, 0, 7},
	} {
		test.InDelta(t, tc.level, fillLevel(tc.values, tc.amount), 1e-9)
	}
}
