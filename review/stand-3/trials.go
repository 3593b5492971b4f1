package main

import (
	"os"
	"sync"
	"syscall"
	"time"
)

// The trials of this file and of soak.go are no cases: they held, or earlier cases show what they show.

// rollCase: the keepers of the zones are stopped and started again in turn, as in a rolling restart. Jobs that run are
// cancelled meanwhile.
func rollCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	acked := map[string]answer{}
	for _, zone := range []string{"tx-aus", "tx-dal", "tx-hou"} {
		keeper := w.node(w.store.holder(zone))
		var mate, other *node
		for _, n := range w.nodes {
			switch {
			case n.zone == zone && n != keeper:
				mate = n
			case n.zone != zone && n.name != w.store.holder(n.zone):
				other = n
			}
		}
		var ids []string
		for range 150 {
			id := w.newID()
			ids = append(ids, id)
			go w.post(mate, id, longJob(), postOptions{deadlineMs: 30000})
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(700 * time.Millisecond)
		restarted := make(chan struct{})
		go func() {
			if w.trouble {
				keeper.restart()
			}
			close(restarted)
		}()
		for id, a := range w.cancelAll(other, ids, func(i int) time.Duration { return time.Duration(i) * 300 * time.Microsecond }) {
			acked[id] = a
		}
		<-restarted
		time.Sleep(1300 * time.Millisecond) // the pause between two of the processes
	}
	calm := time.Now()
	time.Sleep(8 * time.Second)
	w.checkCancelled(acked, calm)
	return w, nil
}

// zoneCase: entries of another writer name minions of one zone as minions of another one, for a beat each.
func zoneCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	w.checks = true
	var wg sync.WaitGroup
	stop := time.Now().Add(17 * time.Second)
	for _, n := range w.nodes {
		wg.Go(func() {
			for time.Now().Before(stop) {
				wg.Go(func() {
					w.post(n, w.newID(), []step{{Count: 4, CPU: 3000, MemMb: 64, EstRuntimeMs: 900, ms: 900}}, postOptions{deadlineMs: 4000})
				})
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := 0; w.trouble && round < 4; round++ {
		m := w.minions[2+round] // of tx-aus
		m.awaitBeat()
		w.note("entry of another writer", "minion", m.id, "zone", "tx-dal")
		w.store.put("servers/"+m.id, map[string]any{"service": w.service, "address": m.addr, "zone": "tx-dal", "state": "ready",
			"capacity": map[string]any{"cpu": m.cpu, "memMb": m.memMb}})
		time.Sleep(3350 * time.Millisecond)
	}
	wg.Wait()
	return w, nil
}

// serviceCase: the entry of a minion is replaced by one of another writer with a service that nothing names, and the
// keeper of its zone is killed before the minion's own next beat.
func serviceCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	w.checks = true
	var wg sync.WaitGroup
	stop := time.Now().Add(17 * time.Second)
	for _, n := range w.nodes {
		wg.Go(func() {
			for time.Now().Before(stop) {
				wg.Go(func() {
					w.post(n, w.newID(), []step{{Count: 4, CPU: 2000, MemMb: 64, EstRuntimeMs: 900, ms: 900}}, postOptions{deadlineMs: 4000})
				})
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := 0; w.trouble && round < 3; round++ {
		m := w.minions[2+round] // of tx-aus
		m.awaitBeat()
		w.note("entry of another writer", "minion", m.id)
		v := map[string]any{"service": "nowhere", "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": m.cpu, "memMb": m.memMb}, "labels": []string{"a", m.rack}, "clockMs": 5, "seqNo": 5, "born": m.born}
		if os.Getenv("VARIANT") == "1" {
			v["address"] = 5
		}
		w.store.put("servers/"+m.id, v)
		keeper := w.node(w.store.holder("tx-aus"))
		time.Sleep(1150 * time.Millisecond)
		keeper.signal(syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { keeper.start() })
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	return w, nil
}
