package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soakCase plays random disruptions, and checks all rules that the stand-ins can see. It is no case.
func soakCase() (*world, error) {
	w, err := newWorld(small, []string{"a", "a", "b"})
	if err != nil {
		return w, err
	}
	w.checks = true
	secs, _ := strconv.Atoi(os.Getenv("SECONDS"))
	leave, _ := strconv.Atoi(os.Getenv("LEAVE")) // percent of the hand-ins whose connection breaks
	for i, m := range w.minions {
		m.rate = 1 - 0.02*float64(i%3)/2
	}
	kinds := strings.Fields(os.Getenv("KINDS"))
	stop := time.Now().Add(time.Duration(max(secs, 40)) * time.Second)
	var wg sync.WaitGroup
	byZone := map[string][]*node{}
	for _, n := range w.nodes {
		byZone[n.zone] = append(byZone[n.zone], n)
	}
	type attempts struct {
		id       string
		statuses []int
	}
	var mu sync.Mutex
	var all []attempts
	runJob := func(zone string) {
		id := w.newID()
		steps := []step{{Count: 1 + rand.IntN(8), CPU: 2000 + rand.Int64N(4800), MemMb: 64, EstRuntimeMs: 60, ms: 60}}
		switch rand.IntN(5) {
		case 0:
			steps[0].AntiAffinity = 1 + rand.IntN(2)
		case 1:
			steps[0].Constraints = "b"
			steps[0].Count = min(steps[0].Count, 3)
		case 2:
			steps = append(steps, step{Count: 1 + rand.IntN(4), CPU: 3000, MemMb: 64, EstRuntimeMs: 60, After: []int{0}})
		}
		if rand.IntN(4) == 0 {
			steps[0].ms = 900 * (1 + rand.IntN(4)*rand.IntN(2))
			steps[0].EstRuntimeMs = 900
		}
		a := attempts{id: id}
		n := byZone[zone][rand.IntN(len(byZone[zone]))]
		for range 4 {
			o := postOptions{deadlineMs: 4000}
			if rand.IntN(100) < leave { // its connection breaks
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rand.IntN(400))*time.Millisecond)
				defer cancel()
				o.ctx = ctx
			}
			ans := w.post(n, id, steps, o)
			a.statuses = append(a.statuses, ans.status)
			switch ans.status {
			case 0, 502, 504:
				time.Sleep(1300 * time.Millisecond)
			case 503, 429:
				time.Sleep(time.Second)
			default:
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				return
			}
			n = w.nodes[rand.IntN(len(w.nodes))]
		}
		mu.Lock()
		all = append(all, a)
		mu.Unlock()
	}
	for z := range byZone {
		wg.Go(func() {
			for time.Now().Before(stop) {
				go runJob(z)
				time.Sleep(time.Duration(30+rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	lock := make(map[any]bool)
	var lmu sync.Mutex
	take := func(x any) bool {
		lmu.Lock()
		defer lmu.Unlock()
		if lock[x] {
			return false
		}
		lock[x] = true
		return true
	}
	release := func(x any) { lmu.Lock(); delete(lock, x); lmu.Unlock() }
	for time.Now().Before(stop.Add(-8 * time.Second)) {
		time.Sleep(time.Duration(200+rand.IntN(900)) * time.Millisecond)
		n := w.nodes[rand.IntN(len(w.nodes))]
		if rand.IntN(2) == 0 {
			n = w.node(w.store.holder([]string{"tx-aus", "tx-dal", "tx-hou"}[rand.IntN(3)]))
		}
		m := w.minions[rand.IntN(len(w.minions))]
		switch kinds[rand.IntN(len(kinds))] {
		case "kill":
			if take(n) {
				go func() {
					n.signal(syscall.SIGKILL)
					<-n.done
					time.Sleep(time.Duration(100+rand.IntN(3000)) * time.Millisecond)
					n.start()
					release(n)
				}()
			}
		case "freeze":
			if take(n) {
				go func() {
					n.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(100+rand.IntN(3900)) * time.Millisecond)
					n.signal(syscall.SIGCONT)
					time.Sleep(time.Second)
					release(n)
				}()
			}
		case "term":
			if take(n) {
				go func() { n.restart(); release(n) }()
			}
		case "cut":
			if take(n.storeLink) {
				go func() {
					n.storeLink.setCut(true)
					time.Sleep(time.Duration(100+rand.IntN(5000)) * time.Millisecond)
					n.storeLink.setCut(false)
					release(n.storeLink)
				}()
			}
		case "storedown":
			if take(w.store) {
				go func() {
					w.note("store down")
					for _, n := range w.nodes {
						n.storeLink.setCut(true)
					}
					time.Sleep(time.Duration(500+rand.IntN(5000)) * time.Millisecond)
					for _, n := range w.nodes {
						n.storeLink.setCut(false)
					}
					w.note("store up")
					time.Sleep(3 * time.Second)
					release(w.store)
				}()
			}
		case "crash":
			if take(m) {
				go func() {
					w.note("crash", "minion", m.id)
					m.crash()
					time.Sleep(time.Duration(50+rand.IntN(3000)) * time.Millisecond)
					m.begin(m.kind)
					release(m)
				}()
			}
		case "drain":
			if take(m) {
				go func() {
					m.drain()
					time.Sleep(2*time.Second + rand.N(8*time.Second))
					m.crash()
					w.store.remove("servers/" + m.id)
					time.Sleep(time.Second)
					m.begin(m.kind)
					release(m)
				}()
			}
		case "mcut":
			if take(m) {
				go func() {
					w.note("minion cut off", "minion", m.id)
					m.cut.Store(true)
					time.Sleep(time.Duration(100+rand.IntN(5000)) * time.Millisecond)
					m.cut.Store(false)
					m.report("ready")
					w.note("minion back", "minion", m.id)
					release(m)
				}()
			}
		case "mslow":
			if take(m) {
				go func() {
					m.slow.Store(int64(3 + rand.IntN(4)))
					time.Sleep(time.Duration(1000+rand.IntN(4000)) * time.Millisecond)
					m.slow.Store(0)
					release(m)
				}()
			}
		case "lost":
			if take(m) {
				go func() {
					m.lost.Store(int64(1 + rand.IntN(50)))
					time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
					m.lost.Store(0)
					release(m)
				}()
			}
		}
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	count := map[int]int{}
	for _, a := range all {
		rejected := true
		for _, s := range a.statuses {
			count[s]++
			rejected = rejected && (s == 503 || s == 429 || s == 404)
		}
		if rejected && len(w.startsOf(a.id)) > 0 {
			w.breaks("REFUSED: %s has started, its hand-ins were answered %v", a.id, a.statuses)
		}
	}
	fmt.Println(len(all), "jobs", count, len(w.starts), "starts")
	return w, nil
}

// checkStart checks a start against all others. The caller holds w.mu.
func (w *world) checkStart(s *started) (broken string) {
	p := strings.Split(s.task, ".")
	steps := w.steps[p[0]]
	stepIndex, _ := strconv.Atoi(p[2])
	sameStep := 0
	done := map[string]bool{}
	for _, o := range w.byJob[p[0]] {
		if o.how == "done" {
			done[o.task] = true
		}
		if o == s || !o.ended.IsZero() {
			continue
		}
		if o.task == s.task {
			broken = fmt.Sprintf("TWICE: %s attempt %d on %s, while attempt %d runs on %s since %s", s.task, s.attempt, s.minion, o.attempt, o.minion, w.at(o.at))
		}
		if o.minion == s.minion && strings.Split(o.task, ".")[2] == p[2] {
			sameStep++
		}
	}
	if stepIndex >= len(steps) {
		return "UNASKED: " + s.task
	}
	st := steps[stepIndex]
	if st.AntiAffinity > 0 && sameStep+1 > st.AntiAffinity {
		broken = fmt.Sprintf("ROUTE: %s is number %d of its step on %s, of at most %d", s.task, sameStep+1, s.minion, st.AntiAffinity)
	}
	if st.Constraints != "" && st.Constraints != s.kind {
		broken = "ROUTE: label of " + s.task
	}
	for _, a := range st.After {
		for i := range steps[a].Count {
			if t := fmt.Sprintf("%s.0.%d.%d", p[0], a, i); !done[t] {
				broken = fmt.Sprintf("ORDER: %s starts before %s is done", s.task, t)
			}
		}
	}
	return broken
}
