package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// traffic submits jobs to the nodes in rotation, a fixed number a second in each zone, until stop is closed.
func (d *deployment) traffic(perSecond float64, newJob func() *job, stop <-chan struct{}, answered func(result)) {
	var wg sync.WaitGroup
	for _, zone := range zoneNames {
		wg.Go(func() {
			t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer t.Stop()
			for i := 0; ; i++ {
				select {
				case <-t.C:
				case <-stop:
					return
				}
				nodes := d.inZone(zone)
				n := nodes[i%len(nodes)]
				if !n.rotated() {
					continue
				}
				wg.Go(func() {
					j := newJob()
					res := d.submit(n, j)
					answered(res)
					d.rec.line("answer %s from %s: %v", j.id, n.name, res)
				})
			}
		})
	}
	wg.Wait()
}

// largeKind is what the minions of all cases say about themselves.
var largeKind = kind{CPU: 16000, MemMb: 65536, Labels: []string{"a", "r1"}}

// Case thaw: a machine freezes for four seconds. Clients that got no answer from it hand their jobs in again at
// a node of another zone.

var thawSize = deploymentSize{nodes: smallSize, minions: 4, kind: largeKind}

func playThaw(d *deployment, trouble bool) error {
	const from, to = "za", "zb"
	keeper := d.keeper(from)
	var frozen *node
	for _, n := range d.inZone(from) {
		if n != keeper {
			frozen = n
		}
	}
	if keeper == nil || frozen == nil {
		return fmt.Errorf("zone %s has no keeper", from)
	}
	d.rec.line("keeper of zone %s is %s", from, keeper.name)
	var wg sync.WaitGroup
	for range 40 { // the usual traffic before the freeze
		wg.Go(func() {
			j := &job{id: newID(), count: 4, size: taskSize{CPU: 500, MemMb: 256, RunMs: 900}, deadline: 1500 * time.Millisecond}
			d.rec.line("client hands %s in at %s", j.id, frozen.name)
			d.rec.line("answer %s from %s: %v", j.id, frozen.name, d.submit(frozen, j))
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	freezeEnds := time.Now().Add(4 * time.Second)
	if trouble {
		d.signal(frozen, syscall.SIGSTOP, "SIGSTOP")
		wg.Go(func() {
			time.Sleep(time.Until(freezeEnds))
			d.signal(frozen, syscall.SIGCONT, "SIGCONT")
		})
	}
	others := d.inZone(to)
	for i := range 36 {
		wg.Go(func() {
			time.Sleep(300*time.Millisecond + time.Duration(i)*25*time.Millisecond)
			j := &job{id: newID(), count: 4, size: taskSize{CPU: 500, MemMb: 256, RunMs: 900}, deadline: 1500 * time.Millisecond}
			d.rec.line("client hands %s in at %s", j.id, frozen.name)
			res := d.submitOnNewConnection(frozen, j)
			d.rec.line("answer %s from %s: %v", j.id, frozen.name, res)
			if res.err == nil && res.status != 502 && res.status != 504 {
				return
			}
			time.Sleep(resendDelay)
			n := others[i%len(others)]
			d.rec.line("client hands %s in again at %s", j.id, n.name)
			res = d.submitOnNewConnection(n, j)
			d.rec.line("answer %s from %s: %v", j.id, n.name, res)
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// Case unlisted: minions lose their path to the store, so their entries go, while they work on. Then the keeper
// of their zone is killed.

var unlistedSize = deploymentSize{nodes: smallSize, minions: 5, kind: largeKind}

func playUnlisted(d *deployment, trouble bool) error {
	const zone = "za"
	stop := make(chan struct{})
	served := 0
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(12, func() *job {
			return &job{id: newID(), count: 4, size: taskSize{CPU: 1500, MemMb: 256, RunMs: 900}, deadline: 1500 * time.Millisecond}
		}, stop, func(r result) {
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 && strings.Contains(r.text, "completed") {
				served++
			}
		})
	}()
	time.Sleep(2 * time.Second)
	cut := d.minions[:3] // of the zone, of 15 in all
	if trouble {
		var heal []func()
		for _, m := range cut {
			heal = append(heal, m.loseStore())
		}
		cutAt := time.Now()
		for _, m := range cut { // wait until the last entry has gone, and a second more
			for d.store.value("servers/"+m.id) != nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(time.Until(cutAt.Add(5300 * time.Millisecond)))
		keeper := d.keeper(zone)
		if keeper == nil {
			return fmt.Errorf("zone %s has no keeper", zone)
		}
		d.signal(keeper, syscall.SIGKILL, "SIGKILL")
		time.Sleep(time.Until(cutAt.Add(5500 * time.Millisecond)))
		for _, f := range heal {
			f()
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	<-done
	if served < 30 {
		return fmt.Errorf("only %d jobs were served", served)
	}
	return nil
}

// Case odd: another writer replaces the entry of a minion by one that lacks fields and has the address of
// another minion.

var oddSize = deploymentSize{nodes: smallSize, minions: 4, kind: largeKind}

func playOdd(d *deployment, trouble bool) error {
	stop := make(chan struct{})
	served := 0
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(8, func() *job {
			return &job{id: newID(), count: 4, size: taskSize{CPU: 1500, MemMb: 256, RunMs: 900}, deadline: 1500 * time.Millisecond}
		}, stop, func(r result) {
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 && strings.Contains(r.text, "completed") {
				served++
			}
		})
	}()
	time.Sleep(3 * time.Second)
	for _, zone := range []int{0, 4, 8} { // the first minion of each zone
		m, other := d.minions[zone], d.minions[zone+1]
		if trouble {
			value, err := json.Marshal(map[string]any{"service": serviceName, "address": other.addr, "zone": m.zone, "state": "ready",
				"capacity": map[string]any{"cpu": largeKind.CPU, "memMb": largeKind.MemMb}})
			if err != nil {
				return err
			}
			d.store.put("servers/"+m.id, value)
			d.rec.line("store  has an entry of %s by another writer: %s", m.id, value)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	<-done
	if served < 30 {
		return fmt.Errorf("only %d jobs were served", served)
	}
	return nil
}
