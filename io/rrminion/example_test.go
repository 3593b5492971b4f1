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
	start := rrdispatcher.Dispatch{Addr: minion.Addr, Job: "proof", Task: &rrtask.Task{Body: []byte(`{"run":"1ms"}`)}}
	fin := c.Run(context.Background(), start)
	fmt.Println(fin.Result.Code, string(fin.Result.Body))

	minion.Minion.Set(rrstand.Faults{Leaving: true})
	fin = c.Run(context.Background(), start)
	fmt.Println(fin.Result.Code, fin.Result.Code.Class(), fin.Draining)
	// Output:
	// complete torri-1
	// minion-refused not run true
}
