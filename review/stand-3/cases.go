package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

var small = map[string][2]int{"tx-aus": {3, 8}, "tx-dal": {3, 8}, "tx-hou": {2, 8}}

// memoryCase: a share of the jobs can never be done, since a task needs more memory than any minion has.
func memoryCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	var wg sync.WaitGroup
	for i := range 200 {
		n := w.nodes[i%len(w.nodes)]
		mem := int64(64)
		if w.trouble && i%20 == 7 { // a share of 0.05
			mem = 1 << 44
		}
		wg.Go(func() {
			w.post(n, w.newID(), []step{{Count: 2, CPU: 2000, MemMb: mem, EstRuntimeMs: 60, ms: 60}}, postOptions{deadlineMs: 1500})
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return w, nil
}

// cancel sends DELETE until it is acknowledged.
func (w *world) cancel(n *node, id string, pause time.Duration) answer {
	for {
		a := w.do(n, "DELETE", id, nil, postOptions{})
		if a.status/100 == 2 || a.status == 410 || time.Since(w.t0) > 100*time.Second {
			return a
		}
		time.Sleep(pause)
	}
}

// longJob is a job of 14 steps, each with a task of 900 ms, one after the other.
func longJob() []step {
	var steps []step
	for i := range 14 {
		s := step{Count: 1, CPU: 100, MemMb: 64, EstRuntimeMs: 900, ms: 900}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	return steps
}

// background hands in ordinary jobs at all processes for a time, about 130 a second.
func (w *world) background(d time.Duration) {
	stop := time.Now().Add(d)
	for _, n := range w.nodes {
		go func() {
			for time.Now().Before(stop) {
				go w.post(n, w.newID(), []step{{Count: 2, CPU: 2000, MemMb: 64, EstRuntimeMs: 60, ms: 60}}, postOptions{deadlineMs: 1500})
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
}

const cancelMs = 3000

// contactMs is the time after the end of a disruption from which all machines are in touch.
const contactMs = 3000

// checkCancelled breaks the rule for each task that started later than cancel_ms after the acknowledgement of its job's
// cancelling, and reports how many jobs were acknowledged with which status. A start sooner than contactMs after the
// last disruption, which ended at calm, doesn't count: the machine that sent it may not have been in touch.
func (w *world) checkCancelled(acked map[string]answer, calm time.Time) {
	statuses := map[int]int{}
	for id, a := range acked {
		statuses[a.status]++
		late, last := 0, (*started)(nil)
		for _, s := range w.startsOf(id) {
			if s.at.Sub(a.at) > cancelMs*time.Millisecond && s.at.Sub(calm) > contactMs*time.Millisecond {
				late++
				last = s
			}
		}
		if late > 0 {
			w.breaks("UNASKED: the cancelling of %s was acknowledged with %d at %s; %d tasks started more than %d ms later, the last one, %s, at %s", id, a.status, w.at(a.at), late, cancelMs, last.task, w.at(last.at))
		}
	}
	w.note("cancelled", "jobs", len(acked), "by status", statuses)
	fmt.Println(len(acked), "jobs cancelled, by status:", statuses)
}

// cancelAll cancels jobs, each after its delay, and returns the acknowledgements.
func (w *world) cancelAll(n *node, ids []string, delay func(i int) time.Duration) map[string]answer {
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked := map[string]answer{}
	for i, id := range ids {
		wg.Go(func() {
			time.Sleep(delay(i))
			a := w.cancel(n, id, 50*time.Millisecond)
			mu.Lock()
			acked[id] = a
			mu.Unlock()
		})
	}
	wg.Wait()
	return acked
}

// pick returns the holder of tx-aus, the other processes of that zone, and one of tx-dal that is no holder.
func (w *world) pick() (keeper *node, mates []*node, other *node) {
	keeper = w.node(w.store.holder("tx-aus"))
	for _, n := range w.nodes {
		switch {
		case n == keeper || n.name == w.store.holder("tx-dal"):
		case n.zone == "tx-aus":
			mates = append(mates, n)
		case n.zone == "tx-dal":
			other = n
		}
	}
	return keeper, mates, other
}

// restart sends SIGTERM to a process, and starts it again when it has ended.
func (n *node) restart() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(6 * time.Second):
		n.cmd.Process.Kill()
		<-n.done
	}
	n.w.note("ended", "node", n.name)
	time.Sleep(200 * time.Millisecond)
	n.start()
	n.w.note("started", "node", n.name)
}

// staleCase: a process loses its path to the store, and the keeper of another zone is stopped and started again. Jobs
// that run in that zone are cancelled through the process.
func staleCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	keeper, mates, other := w.pick()
	w.background(9 * time.Second)
	time.Sleep(time.Second)
	calm := time.Now()
	if w.trouble {
		w.note("cut from the store", "node", other.name)
		other.storeLink.setCut(true)
		calm = calm.Add(5 * time.Second)
		time.AfterFunc(time.Until(calm), func() { other.storeLink.setCut(false); w.note("healed", "node", other.name) })
		time.Sleep(200 * time.Millisecond)
		go keeper.restart()
	}
	time.Sleep(1200 * time.Millisecond)
	var ids []string
	for i := range 20 {
		id := w.newID()
		ids = append(ids, id)
		go w.post(mates[i%len(mates)], id, longJob(), postOptions{deadlineMs: 30000})
	}
	acked := w.cancelAll(other, ids, func(i int) time.Duration { return time.Duration(500+10*i) * time.Millisecond })
	time.Sleep(10 * time.Second)
	w.checkCancelled(acked, calm)
	return w, nil
}

// againCase: a hand-in of a cancelled job arrives again, seconds after the 2xx, at a node of another zone.
func againCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	_, mates, other := w.pick()
	w.background(9 * time.Second)
	time.Sleep(time.Second)
	var ids []string
	for range 8 {
		id := w.newID()
		ids = append(ids, id)
		go w.post(mates[0], id, longJob(), postOptions{deadlineMs: 30000})
	}
	acked := w.cancelAll(mates[0], ids, func(i int) time.Duration { return time.Duration(400+10*i) * time.Millisecond })
	time.Sleep(4 * time.Second)
	if w.trouble {
		for _, id := range ids {
			go w.post(other, id, longJob(), postOptions{deadlineMs: 30000})
		}
	}
	time.Sleep(3 * time.Second)
	w.checkCancelled(acked, w.t0)
	return w, nil
}
