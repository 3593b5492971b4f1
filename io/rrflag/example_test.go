package rrflag_test

import (
	"flag"
	"fmt"
	"io"

	"rattanring/io/rrflag"
)

// A value outside its range is refused with the range.
func ExampleInt() {
	n := 8
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	fs.Var(rrflag.Int{Dest: &n, Min: 1, Max: 1000}, "slots", "tasks at a time")
	fmt.Println(fs.Parse([]string{"-slots", "0"}))
	// Output: invalid value "0" for flag -slots: want a whole number from 1 to 1000
}
