package rrrendezvous

import (
	"fmt"
	"testing"
)

// Short names that differ in one digit are distributed as evenly as long ones.
func TestWeightIsEven(t *testing.T) {
	const keys = 3000
	counts := make(map[int]int)
	for i := range keys {
		best := 0
		for node := range 3 {
			if Weight(fmt.Sprint("m", i), fmt.Sprint(node)) > Weight(fmt.Sprint("m", i), fmt.Sprint(best)) {
				best = node
			}
		}
		counts[best]++
	}
	for node, n := range counts {
		if n < keys/3*9/10 || n > keys/3*11/10 {
			t.Errorf("node %d: got %d of %d keys, want a third within 10%%", node, n, keys)
		}
	}
}
