// Command stand3 plays one case of the review: it starts the project's own processes and stand-ins, and exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func() (*world, error){
	"memory":  memoryCase,
	"again":   againCase,
	"roll":    rollCase,
	"stale":   staleCase,
	"zone":    zoneCase,
	"service": serviceCase,
	"crowd":   crowdCase,
	"soak":    soakCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE")
		os.Exit(2)
	}
	go func() {
		time.Sleep(115 * time.Second)
		fmt.Fprintln(os.Stderr, "took too long")
		os.Exit(2)
	}()
	w, err := cases[os.Args[1]]()
	if err != nil {
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		if w != nil {
			w.close()
		}
		os.Exit(2)
	}
	os.Exit(w.close())
}
