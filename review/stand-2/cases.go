package main

import (
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

// Case reborn: a minion crashes and starts again under its id, and is smaller than before.

var largeKind = kind{CPU: 16000, MemMb: 65536, Labels: []string{"a", "r1"}}
var smallKind = kind{CPU: 4000, MemMb: 65536, Labels: []string{"b", "r1"}}

var rebornSize = deploymentSize{nodes: smallSize, minions: 4, kind: largeKind}

func playReborn(d *deployment, trouble bool) error {
	stop := make(chan struct{})
	served := 0
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.traffic(8, func() *job {
			return &job{id: newID(), count: 8, size: taskSize{CPU: 2000, MemMb: 256, RunMs: 400}, deadline: 1500 * time.Millisecond}
		}, stop, func(r result) {
			mu.Lock()
			defer mu.Unlock()
			if r.status == 200 && strings.Contains(r.text, "completed") {
				served++
			}
		})
	}()
	time.Sleep(4 * time.Second)
	for _, m := range []*minion{d.minions[0], d.minions[4], d.minions[8]} { // one in each zone, one after the other
		if trouble {
			m.crash()
		}
		time.Sleep(time.Second)
		if trouble {
			if err := m.up(smallKind); err != nil {
				return err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	<-done
	if served < 50 {
		return fmt.Errorf("only %d jobs were served", served)
	}
	return nil
}

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

// Case abort: a keeper is killed, and clients cancel jobs that wait at it.

var abortSize = deploymentSize{nodes: smallSize, minions: 4, kind: largeKind, routeTimeoutMs: 30000}

const (
	cancelTime = 3 * time.Second       // cancel_ms
	stopTime   = 50 * time.Millisecond // stopMs
)

func playAbort(d *deployment, trouble bool) error {
	const zone = "za"
	keeper := d.keeper(zone)
	if keeper == nil {
		return fmt.Errorf("zone %s has no keeper", zone)
	}
	d.rec.line("keeper of zone %s is %s", zone, keeper.name)
	var entries []*node // of the zone, without its keeper
	for _, n := range d.inZone(zone) {
		if n != keeper {
			entries = append(entries, n)
		}
	}
	var wg sync.WaitGroup
	var jobs []*job
	submit := func(n *node) *job {
		j := &job{id: newID(), count: 1, size: taskSize{CPU: 1000, MemMb: 64, RunMs: 6000}, deadline: 25 * time.Second}
		wg.Go(func() {
			d.rec.line("client hands %s in at %s", j.id, n.name)
			d.rec.line("answer %s from %s: %v", j.id, n.name, d.submit(n, j))
		})
		return j
	}
	for i := range 150 { // more than twice the cores of each zone
		for _, other := range []string{"zb", "zc"} {
			submit(d.inZone(other)[i%2])
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 120 {
		jobs = append(jobs, submit(entries[i%2]))
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.signal(keeper, syscall.SIGKILL, "SIGKILL")
	}
	acked := make(map[string]time.Time)
	var mu sync.Mutex
	for i, j := range jobs[60:] { // the later ones, which wait
		wg.Go(func() {
			time.Sleep(time.Duration(2*i) * time.Millisecond)
			n := entries[i%2]
			for range 10 {
				res := d.abort(n, j)
				d.rec.line("cancel %s at %s: %v", j.id, n.name, res)
				if res.err == nil && (res.status/100 == 2 || res.status == 410) {
					mu.Lock()
					acked[j.id] = time.Now()
					mu.Unlock()
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	// Watch what runs, until all jobs have ended.
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		seen := make(map[string]bool)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := time.Now()
			for _, task := range d.log.running() {
				id, _, _ := strings.Cut(task, ".")
				mu.Lock()
				at, ok := acked[id]
				mu.Unlock()
				if ok && !seen[id] && now.Sub(at) > cancelTime+stopTime {
					seen[id] = true
					d.log.breakRule("UNASKED: %s runs %.2f s after the cancelling of its job was acknowledged", task, now.Sub(at).Seconds())
				}
			}
		}
	}()
	wg.Wait()
	close(stop)
	<-watched
	if len(acked) < 30 {
		return fmt.Errorf("only %d cancellings were acknowledged", len(acked))
	}
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

// Case leave: a machine gets SIGTERM while jobs that came by it wait for free cores.

var leaveSize = deploymentSize{nodes: smallSize, minions: 4, kind: largeKind, routeTimeoutMs: 30000}

func playLeave(d *deployment, trouble bool) error {
	const zone = "za"
	var leaving *node
	for _, n := range d.inZone(zone) {
		if n != d.keeper(zone) {
			leaving = n
		}
	}
	var others []*node
	for _, n := range d.nodes {
		if n != leaving {
			others = append(others, n)
		}
	}
	var wg sync.WaitGroup
	newJob := func() *job {
		return &job{id: newID(), count: 1, size: taskSize{CPU: 1000, MemMb: 64, RunMs: 7000}, deadline: 25 * time.Second}
	}
	begin := time.Now()
	for i := range 200 { // 192 cores in all
		wg.Go(func() {
			j, n := newJob(), others[i%len(others)]
			d.rec.line("answer %s from %s: %v", j.id, n.name, d.submit(n, j))
		})
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	if trouble {
		d.signal(leaving, syscall.SIGTERM, "SIGTERM")
	}
	term := time.Now()
	cut := 0
	var mu sync.Mutex
	for i := range 8 { // by new connections, as long as the balancer sends any
		time.Sleep(time.Until(term.Add(time.Duration(i) * 150 * time.Millisecond)))
		if !leaving.rotated() {
			break
		}
		wg.Go(func() {
			j := newJob()
			sent := time.Now()
			d.rec.line("client hands %s in at %s", j.id, leaving.name)
			res := d.submitOnNewConnection(leaving, j)
			now := time.Now()
			d.rec.line("answer %s from %s after %.2f s: %v", j.id, leaving.name, now.Sub(sent).Seconds(), res)
			// The rule leaves out requests whose minion is at work, and what ended before the process had time to read it.
			if res.err != nil && now.Sub(sent) > time.Second && now.Sub(sent) < j.deadline && now.Before(term.Add(7*time.Second)) && !d.log.isRunning(j.id) {
				d.log.breakRule("LOST: the request for %s was sent to %s %.2f s after the SIGTERM and ended %.2f s later without an answer; no minion was at work on it", j.id, leaving.name, sent.Sub(term).Seconds(), now.Sub(sent).Seconds())
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return nil
}
