package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const memoryMb = 284 // of the users' machines

// memory returns the resident memory of a process in bytes, or 0 if it has ended.
func (n *node) memory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// guardMemory ends a process that takes more memory than its machine has, as the machine would, and starts it again a
// second later. It counts the ends.
func (n *node) guardMemory(ctx context.Context, ends *atomic.Int64) {
	peak := int64(0)
	for ctx.Err() == nil {
		m := n.memory()
		peak = max(peak, m)
		if m <= memoryMb<<20 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		n.w.note("over its memory", "node", n.name, "resident MB", m>>20, "of", memoryMb)
		ends.Add(1)
		n.cmd.Process.Signal(syscall.SIGKILL)
		<-n.done
		time.Sleep(time.Second)
		n.start()
	}
	n.w.note("peak", "node", n.name, "resident MB", peak>>20, "of", memoryMb, "ends", ends.Load())
}

// crowdCase: many jobs of legal size come at once, 13 times. Each has one step of 4096 small tasks.
func crowdCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ends := make([]atomic.Int64, len(w.nodes))
	var guards, wg sync.WaitGroup
	for i, n := range w.nodes {
		guards.Go(func() { n.guardMemory(ctx, &ends[i]) })
	}
	steps := []step{{Count: 8, CPU: 850, MemMb: 64, EstRuntimeMs: 60, ms: 60}}
	if w.trouble {
		steps = []step{{Count: 4096, CPU: 1, MemMb: 1, EstRuntimeMs: 60, ms: 60}}
	}
	for range 13 {
		w.background(2 * time.Second) // usual jobs
		time.Sleep(2500 * time.Millisecond)
		w.note("burst", "jobs", 580, "tasks of each", steps[0].Count)
		for i := range 580 { // 190 a second
			n := w.nodes[i%len(w.nodes)]
			wg.Go(func() { w.post(n, w.newID(), steps, postOptions{deadlineMs: 1500}) })
			time.Sleep(5260 * time.Microsecond)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	cancel()
	guards.Wait()
	thrice, total, machines := 0, int64(0), 0
	for i := range ends {
		n := ends[i].Load()
		total += n
		if n > 0 {
			machines++
		}
		if n >= 3 {
			thrice++
		}
	}
	fmt.Println(total, "ends for want of memory, on", machines, "machines;", thrice, "machines with three or more")
	w.note("ends", "total", total, "machines", machines, "with three or more", thrice)
	if thrice >= 2 {
		w.breaks("Fault: processes on %d of %d machines took more than %d MB three times or more (%d times in all)", thrice, len(w.nodes), memoryMb, total)
	}
	return w, nil
}
