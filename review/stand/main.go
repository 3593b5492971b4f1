// Command stand plays the cases of the review against processes of the program, with stand-ins of the
// platform's store, its balancer, minions and clients. Usage: stand CASE FOLDER.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest that a part of a case may run, its start and end left out.
const limit = 40 * time.Second

// result is how a case ended.
type result struct {
	broken []string // how the rule was broken
	err    error    // why the case could not run
}

func main() {
	cases := map[string][]func(*fleet, *clients, bool) result{
		"resend":  {resend, silent},
		"reborn":  {reborn},
		"cancel":  {cancelJobs},
		"waiting": {waiting},
		"memory":  {memory},
		"restart": {restart},
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec.add("case %s, disruption %v", os.Args[1], trouble)
	var r result
	for i, part := range cases[os.Args[1]] { // each with a fleet of its own
		rec.add("part %d", i+1)
		p := play(rec, part, trouble)
		r.broken = append(r.broken, p.broken...)
		if p.err != nil {
			r.err = p.err
		}
	}
	for _, b := range r.broken {
		rec.add("BROKEN %s", b)
	}
	if r.err != nil {
		rec.add("the case could not run: %v", r.err)
	}
	rec.add("the rule was broken %d times", len(r.broken))
	rec.close()
	switch {
	case len(r.broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(r.broken), r.broken[0])
		os.Exit(1)
	case r.err != nil:
		fmt.Println(r.err)
		os.Exit(2)
	}
	fmt.Println("the rule held")
}

// play starts the fleet, plays a case and ends the fleet.
func play(rec *record, f func(*fleet, *clients, bool) result, trouble bool) result {
	fl, err := newFleet(rec, 16)
	if err != nil {
		return result{err: err}
	}
	defer fl.close()
	c := newClients(fl)
	if err := fl.run(); err != nil {
		return result{err: err}
	}
	done := make(chan result, 1)
	go func() { done <- f(fl, c, trouble) }()
	select {
	case r := <-done:
		return r
	case <-time.After(limit):
		return result{err: fmt.Errorf("the case took too long")}
	}
}
