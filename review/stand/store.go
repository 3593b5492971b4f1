package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of one call: the settings of the small sites say 4 ms.
const storeDelay = 4 * time.Millisecond

// kvItem is one item of the store, or one event.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the platform's store, as PROTOCOL.md describes it.
type store struct {
	addr string

	mu     sync.Mutex
	rev    int64
	items  map[string]kvItem
	events []kvItem
	leases map[int64]*kvLease
	wake   chan struct{}
}

func newStore(ip string) (*store, error) {
	s := &store{rev: 100, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, wake: make(chan struct{})}
	ln, err := net.Listen("tcp", ip+":0")
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
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// put writes an item for the operator or a minion.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// write writes an item. The caller holds s.mu.
func (s *store) write(key string, value []byte, lease int64) {
	s.rev++
	it := kvItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
}

func (s *store) publish(it kvItem) {
	s.events = append(s.events, it)
	close(s.wake)
	s.wake = make(chan struct{})
}

// remove deletes an item. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.publish(kvItem{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	return true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"atRev": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		kvItem
		AtRev int64 `json:"atRev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []kvItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > page
	items = items[:min(page, len(items))]
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "atRev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("prefix")) {
				events = append(events, it)
			}
		}
		rev, wake := s.rev, s.wake
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": rev})
			return
		}
		select {
		case <-wake:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "atRev": rev})
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []kvItem{}
	for _, e := range body.Expect {
		it := s.items[e.Key]
		met = met && it.Revision == e.Revision
		if it.Revision != 0 {
			current = append(current, it)
		}
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]int64{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	id, ttl := s.rev, time.Duration(max(body.TTLMs, 1000))*time.Millisecond
	s.leases[id] = &kvLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	answer(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !s.endLease(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

// owner returns the name of the process that the store names as the owner of a zone's shard.
func (s *store) owner(zone string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(s.items["rr/seat/"+zone].Value, &r)
	return r.Name
}

func answer(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
