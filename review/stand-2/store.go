package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's store.
type store struct {
	addr string

	mu     sync.Mutex
	rev    int64
	items  map[string]item
	events []item
	leases map[int64]*storeLease
	wake   chan struct{} // closed and replaced at each change
}

func startStore() (*store, error) {
	s := &store{rev: 100, items: make(map[string]item), leases: make(map[int64]*storeLease), wake: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanring/kv-key", s.get)
	mux.HandleFunc("GET /rattanring/kv-range", s.list)
	mux.HandleFunc("GET /rattanring/kv-watch", s.watch)
	mux.HandleFunc("POST /rattanring/kv-txn", s.txn)
	mux.HandleFunc("POST /rattanring/kv-lease", s.grant)
	mux.HandleFunc("POST /rattanring/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /rattanring/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes an item on behalf of the operator or of a minion.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(key)
}

// value returns the value of an item, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, lease int64) {
	s.rev++
	it := item{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) publish(it item) {
	s.events = append(s.events, it)
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"atRev": rev})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "atRev": rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "hasMore": more, "atRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []item{}
		i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, it := range s.events[i:] {
			if strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				out = append(out, it)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(out) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "atRev": rev})
			return
		}
		select {
		case <-wake:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": out, "atRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, same := []item{}, true
	for _, e := range body.Expect {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		same = same && it.Revision == e.Revision
	}
	if !same {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.erase(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	s.rev++
	id, ttl := s.rev, time.Duration(max(body.TTLMs, 1000))*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	status := http.StatusOK
	if !s.endLease(id) {
		status = http.StatusNotFound
	}
	reply(w, status, map[string]any{})
}

// endLease ends a lease and removes its keys. It reports whether there was one.
func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.erase(key)
		}
	}
	return true
}

func reply(w http.ResponseWriter, status int, v map[string]any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
