package rrcode_test

import (
	"fmt"

	"rattanring/core/rrcode"
)

// The class of a code says what a caller may conclude about task starts.
func ExampleCode_Class() {
	for _, c := range []rrcode.Code{rrcode.Complete, rrcode.Overloaded, rrcode.OwnerLost} {
		fmt.Println(uint32(c), c, "-", c.Class())
	}
	// Output:
	// 100 complete - complete
	// 205 overloaded - not run
	// 301 keeper-lost - may have run
}
