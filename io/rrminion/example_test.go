package rrminion_test

import (
	"context"
	"fmt"

	"rattanring/core/rrdispatcher"
	"rattanring/core/rrtask"
	"rattanring/io/rrminion"
	"rattanring/io/rrstand"
)

func ExampleClient_Run() {
	minion, err := rrstand.Serve(&rrstand.Minion{Name: "torri-1", Slots: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer minion.Close()
	var c rrminion.Client
	defer c.Close()
	dispatch := rrdispatcher.Dispatch{Addr: minion.Addr, Job: "proof", Task: &rrtask.Task{Body: []byte(`{"run":"1ms"}`)}}
	out := c.Run(context.Background(), dispatch)
	fmt.Println(out.Result.Code, string(out.Result.Body))

	minion.Minion.SetFaults(rrstand.Faults{Draining: true})
	out = c.Run(context.Background(), dispatch)
	fmt.Println(out.Result.Code, out.Result.Code.Class(), out.Draining)
	// Output:
	// complete torri-1
	// minion-refused not run true
}
