package rrrendezvous

import (
	"fmt"
	"testing"
)

// Short names that differ in one digit are divided as evenly as long ones.
func TestWeightIsEven(t *testing.T) {
	const things = 3000
	counts := make(map[int]int)
	for i := range things {
		best := 0
		for h := range 3 {
			if Weight(fmt.Sprint("m", i), fmt.Sprint(h)) > Weight(fmt.Sprint("m", i), fmt.Sprint(best)) {
				best = h
			}
		}
		counts[best]++
	}
	for h, n := range counts {
		if n < things/3*9/10 || n > things/3*11/10 {
			t.Errorf("holder %d: got %d of %d things, want a third within 10%%", h, n, things)
		}
	}
}
