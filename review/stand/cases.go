package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const zoneA = "caerdydd"

// resend: a process is killed. Its clients hear a broken connection and send their jobs again resendMs
// later, to any node. Jobs have tasks of 2.5 s.
func resend(f *fleet, c *clients, trouble bool) result {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	owner := f.byName(f.store.owner(zoneA))
	if owner == nil {
		return result{err: fmt.Errorf("no owner of %s", zoneA)}
	}
	var victim *node // takes jobs, and isn't the owner that starts their tasks
	for _, n := range f.inZone(zoneA) {
		if n != owner {
			victim = n
		}
	}
	var wg sync.WaitGroup
	for range 12 {
		j := c.newJob("/face/", 2500*time.Millisecond, phase{Count: 4, CPU: 6800, MemMb: 64})
		wg.Go(func() { c.handIn(j, victim, 12*time.Second, c.anyNode) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.signal(victim, syscall.SIGKILL)
	}
	wg.Wait()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return result{broken: slices.Clone(f.world.twice), err: started(f)}
}

// silent: a process is killed, and 0.9 s later the owner of its zone's minions freezes for 0.6 s. The
// clients of the killed process send their jobs again resendMs after their connections broke, to the
// processes of their own zone that the balancer uses. Jobs have tasks of 2.5 s.
func silent(f *fleet, c *clients, trouble bool) result {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	owner := f.byName(f.store.owner(zoneA))
	if owner == nil {
		return result{err: fmt.Errorf("no owner of %s", zoneA)}
	}
	var killed, third *node // take jobs, and aren't the owner
	for _, n := range f.inZone(zoneA) {
		if n != owner {
			killed, third = n, killed
		}
	}
	var wg sync.WaitGroup
	for range 12 {
		j := c.newJob("/face/", 2500*time.Millisecond, phase{Count: 4, CPU: 6800, MemMb: 64})
		wg.Go(func() { c.handIn(j, killed, 12*time.Second, func() *node { return third }) })
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.signal(killed, syscall.SIGKILL)
		time.Sleep(900 * time.Millisecond)
		f.signal(owner, syscall.SIGSTOP)
		time.Sleep(600 * time.Millisecond)
		f.signal(owner, syscall.SIGCONT)
	}
	wg.Wait()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return result{broken: slices.Clone(f.world.twice), err: started(f)}
}

// restart: minions crash, one at a time, and each is started again at once under its id and at its address,
// with its new report in the store.
func restart(f *fleet, c *clients, trouble bool) result {
	const (
		crashes = 36
		down    = 10 * time.Millisecond
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	var wg sync.WaitGroup
	for _, zn := range zoneNodes {
		next := func() *node { return pick(f.inZone(zn.zone)) }
		wg.Go(func() {
			for range time.Tick(25 * time.Millisecond) {
				if ctx.Err() != nil {
					return
				}
				j := c.newJob("/face/", 400*time.Millisecond, phase{Count: 2, CPU: 12000, MemMb: 64})
				wg.Go(func() { c.handIn(j, next(), 4*time.Second, next) })
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range crashes {
		if m := f.world.busiest(); trouble && m != nil {
			m.crash()
			time.Sleep(down)
			if _, err := f.world.start(m.id, m.zone, m.kind, m.rack, m.addr, m.cap); err != nil {
				return result{err: err}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	wg.Wait()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return result{broken: slices.Clone(f.world.twice), err: started(f)}
}

// memory: for 3 s, each 20th job asks for more memory than any minion can have.
func memory(f *fleet, c *clients, trouble bool) result {
	const (
		jobs  = 60
		every = 20
		huge  = 1 << 44 // MB
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	var wg sync.WaitGroup
	for i := range jobs {
		p := phase{Count: 2, CPU: 6800, MemMb: 64}
		if trouble && i%every == every-1 {
			p.MemMb += huge
		}
		j := c.newJob("/face/", 500*time.Millisecond, p)
		wg.Go(func() { c.handIn(j, pick(f.inZone(zoneA)), 4*time.Second, c.anyNode) })
		time.Sleep(3 * time.Second / jobs)
	}
	wg.Wait()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return result{broken: slices.Clone(f.world.over), err: started(f)}
}

// started returns an error if no task has started. The caller holds f.world.mu.
func started(f *fleet) error {
	if f.world.starts == 0 {
		return fmt.Errorf("no task has started")
	}
	return nil
}

// waiting: a rack is full, and some jobs whose tasks need that rack wait for room there. The process that
// took them gets SIGTERM. Their clients wait far longer than the process may take to stop.
func waiting(f *fleet, c *clients, trouble bool) result {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	const rack = "r1-2" // of zoneA
	owner := f.byName(f.store.owner(zoneA))
	var stopped *node // takes the jobs, and isn't the owner of a shard
	var others []*node
	for _, n := range f.inZone(zoneA) {
		if n != owner && stopped == nil {
			stopped = n
		} else {
			others = append(others, n)
		}
	}
	var wg sync.WaitGroup
	for i := range rackSize {
		j := c.newJob("/face/", 15*time.Second, phase{Count: 1, CPU: smallSize.CPU, MemMb: 64, Constraints: rack})
		wg.Go(func() { c.send(http.MethodPost, others[i%len(others)], j, 30*time.Second) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(700 * time.Millisecond)
	const jobs = 4
	var list [jobs]job
	var sent, ended [jobs]time.Time
	var status [jobs]int
	for i := range list {
		list[i] = c.newJob("/face/", 8*time.Second, phase{Count: 1, CPU: smallSize.CPU, MemMb: 64, Constraints: rack})
		wg.Go(func() {
			sent[i] = time.Now()
			status[i], _ = c.send(http.MethodPost, stopped, list[i], 29*time.Second)
			ended[i] = time.Now()
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		f.signal(stopped, syscall.SIGTERM)
	}
	wg.Wait()
	stop()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	r := result{err: started(f)}
	for i, j := range list {
		took := ended[i].Sub(sent[i])
		if status[i] == 0 && took < 28*time.Second && len(f.world.startsOf[j.id]) == 0 {
			r.broken = append(r.broken, fmt.Sprintf("job %s: the connection ended without an answer %v after the request, which had waited for room all the while", j.id, took.Round(time.Millisecond)))
		}
	}
	return r
}

// reborn: minions of the larger kind crash, one after the other, and each starts again a second later
// under its id and at its address, as one of the smaller kind. Its report is in the store before it
// serves. Jobs that need the larger kind use nearly all of it.
func reborn(f *fleet, c *clients, trouble bool) result {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	large := f.world.ofKind(zoneA, largeKind)
	if len(large) < 3 {
		return result{err: fmt.Errorf("%d minions of the larger kind", len(large))}
	}
	var wg sync.WaitGroup
	wg.Go(func() { // tasks for four fifths of the large minions
		for range time.Tick(100 * time.Millisecond) {
			if ctx.Err() != nil {
				return
			}
			j := c.newJob("/face/", 600*time.Millisecond, phase{Count: len(large) * 2, CPU: 6400, MemMb: 64, Constraints: largeKind})
			wg.Go(func() {
				c.handIn(j, pick(f.inZone(zoneA)), 4*time.Second, func() *node { return pick(f.inZone(zoneA)) })
			})
		}
	})
	time.Sleep(2 * time.Second)
	for _, m := range large[:len(large)-2] {
		if trouble {
			m.crash()
			time.Sleep(time.Second)
			if _, err := f.world.start(m.id, m.zone, "a", m.rack, m.addr, smallSize); err != nil {
				return result{err: err}
			}
		}
		time.Sleep(3 * time.Second)
	}
	stop()
	wg.Wait()
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	f.rec.add("starts without their label (ROUTE): %d", len(f.world.route))
	return result{broken: slices.Clone(f.world.over), err: started(f)}
}

// cancelMs is the bound of the rule on cancelled jobs.
const cancelMs = 3000 * time.Millisecond

// cancelJobs: a process freezes for 4 s and wakes again. Clients whose jobs lie in its socket cancel them
// soon after, at the other processes of their zone, and go on waiting for the answer to the job.
func cancelJobs(f *fleet, c *clients, trouble bool) result {
	const (
		jobs  = 10
		froze = 4 * time.Second
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.proofs(ctx, 15)
	owner := f.byName(f.store.owner(zoneA))
	var frozen *node // takes the jobs, and isn't the owner of a shard
	var others []*node
	for _, n := range f.inZone(zoneA) {
		if n != owner && frozen == nil {
			frozen = n
		} else {
			others = append(others, n)
		}
	}
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	wake := time.Now().Add(froze)
	var acked [jobs]time.Time
	var list [jobs]job
	var wg sync.WaitGroup
	for i := range list {
		time.Sleep(10 * time.Millisecond)
		list[i] = c.newJob("/face/", 3*time.Second, phase{Count: 2, CPU: 6800, MemMb: 64})
		go c.send(http.MethodPost, frozen, list[i], 12*time.Second)
		wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			for range 3 {
				if status, _ := c.send(http.MethodDelete, pick(others), list[i], 2*time.Second); status == http.StatusOK || status == http.StatusGone {
					acked[i] = time.Now()
					return
				}
				time.Sleep(time.Second) // as Retry-After says
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Until(wake))
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	r := result{err: started(f)}
	for i, j := range list {
		for _, s := range f.world.startsOf[j.id] {
			if late := s.Sub(acked[i]); !acked[i].IsZero() && late > cancelMs {
				r.broken = append(r.broken, fmt.Sprintf("a task of job %s starts %v after the job's cancelling was acknowledged", j.id, late.Round(time.Millisecond)))
			}
		}
	}
	return r
}
