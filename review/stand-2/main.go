// Command stand2 plays one case of the review: the system's own processes, with stand-ins of the store, the
// minions, the platform's balancer and the clients.
//
//	stand2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in
// the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns an error if it couldn't run.
var cases = map[string]struct {
	size deploymentSize
	play func(d *deployment, trouble bool) error
}{
	"odd":      {oddSize, playOdd},
	"unlisted": {unlistedSize, playUnlisted},
	"thaw":     {thawSize, playThaw},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, recordPath string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.line("case %s, with the disruption: %v", name, trouble)
	d, err := newDeployment(rec, c.size)
	if d != nil {
		defer d.close()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			<-interrupted
			d.close()
			os.Exit(2)
		}()
	}
	if err == nil {
		err = c.play(d, trouble)
	}
	if err != nil {
		rec.line("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
	broken := d.log.brokenRules()
	rec.line("%d runs, %d breaches", d.log.starts, len(broken))
	fmt.Printf("%s: %d runs, %d breaches\n", name, d.log.starts, len(broken))
	for _, b := range broken[:min(len(broken), 3)] {
		fmt.Println("  " + b)
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}
