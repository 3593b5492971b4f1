package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resendAfter is resendMs of the small sites.
const resendAfter = 1300 * time.Millisecond

// phase is one step of a job on the wire.
type phase struct {
	Count        int    `json:"count"`
	CPU          uint64 `json:"cpu"`
	MemMb        uint64 `json:"memMb"`
	EstRuntimeMs int64  `json:"estRuntimeMs"`
	Constraints  string `json:"constraints,omitempty"`
}

// job is what a client hands in.
type job struct {
	id     string
	prefix string
	phases []phase
	ran    time.Duration // of each task
}

// clients are the platform's clients.
type clients struct {
	f *fleet

	mu   sync.Mutex
	jobs map[string]job
	http http.Client
}

func newClients(f *fleet) *clients {
	c := &clients{f: f, jobs: map[string]job{}}
	c.http.Transport = &http.Transport{DisableKeepAlives: true} // each connection goes to the node that the balancer selects
	f.world.tasks = c.task
	return c
}

// task returns what the tests know about a task.
func (c *clients) task(name string) (task, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[jobOf(name)]
	if !ok {
		return task{}, false
	}
	p := j.phases[min(stepOf(name), len(j.phases)-1)]
	return task{size: capacity{CPU: p.CPU, MemMb: p.MemMb}, label: p.Constraints, runTime: j.ran}, true
}

// newJob makes a job of equal tasks.
func (c *clients) newJob(prefix string, ran time.Duration, phases ...phase) job {
	j := job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, phases: phases, ran: ran}
	for i := range phases {
		phases[i].EstRuntimeMs = ran.Milliseconds()
	}
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	return j
}

// send sends one request to a node and returns the status, zero for none, and the body.
func (c *clients) send(method string, n *node, j job, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var body []byte
	if method == http.MethodPost {
		body, _ = json.Marshal(map[string]any{"spec": "job " + j.id, "phases": j.phases, "bestEffort": true})
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+j.prefix+j.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "nony24.example"
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Rattanring-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.f.rec.add("client %s %s at %s", method, j.id, n.name)
	res, err := c.http.Do(req)
	if err != nil {
		c.f.rec.add("client %s %s at %s: no answer (%s)", method, j.id, n.name, lastWords(err))
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	c.f.rec.add("client %s %s at %s: %d %s", method, j.id, n.name, res.StatusCode, strings.TrimSpace(string(text)))
	return res.StatusCode, string(text)
}

func lastWords(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// handIn hands a job in at a node, and again resendAfter after each try without an answer, with 502
// or with 504, at a node that next selects. It returns the last status.
func (c *clients) handIn(j job, n *node, patience time.Duration, next func() *node) int {
	end := time.Now().Add(patience)
	for {
		status, _ := c.send(http.MethodPost, n, j, time.Until(end))
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout || time.Until(end) < resendAfter+100*time.Millisecond {
			return status
		}
		time.Sleep(resendAfter)
		n = next()
	}
}

// anyNode returns one of the nodes in rotation, in any zone.
func (c *clients) anyNode() *node {
	return pick(c.f.inZone(""))
}

func pick(list []*node) *node {
	return list[rand.IntN(len(list))]
}

// proofs hands in small jobs in all zones until ctx ends: the usual traffic.
func (c *clients) proofs(ctx context.Context, perS int) {
	for range time.Tick(time.Second / time.Duration(perS)) {
		if ctx.Err() != nil {
			return
		}
		zone := zoneNodes[rand.IntN(len(zoneNodes))].zone
		j := c.newJob("/proof/", 60*time.Millisecond, phase{Count: 2, CPU: 2000, MemMb: 64})
		go c.handIn(j, pick(c.f.inZone(zone)), 1500*time.Millisecond, func() *node { return pick(c.f.inZone(zone)) })
	}
}
