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

// store is a stand-in of the platform's metadata store. It answers at once, loses nothing and keeps its whole history.
type store struct {
	addr string

	mu      sync.Mutex
	rev     int64
	items   map[string]kvItem
	log     []kvEvent
	changed chan struct{}
	leases  map[int64]*kvLease
	lastID  int64
}

type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
}

type kvEvent struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

func startStore(addr string) (*store, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, rev: 100, items: map[string]kvItem{}, changed: make(chan struct{}), leases: map[int64]*kvLease{}, lastID: 7000}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rattanring/kv-key", s.key)
	mux.HandleFunc("GET /rattanring/kv-range", s.list)
	mux.HandleFunc("GET /rattanring/kv-watch", s.watch)
	mux.HandleFunc("POST /rattanring/kv-txn", s.txn)
	mux.HandleFunc("POST /rattanring/kv-lease", s.grant)
	mux.HandleFunc("POST /rattanring/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /rattanring/kv-lease-end/{id}", s.end)
	go http.Serve(ln, mux)
	go s.expire()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// put writes a key for the operator or a minion.
func (s *store) put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, text, 0)
	s.notify()
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.delete(key)
	s.notify()
}

func (s *store) write(key string, value []byte, lease int64) {
	it := kvItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.log = append(s.log, kvEvent{Key: key, Value: value, Revision: s.rev, Created: it.Created, Lease: lease})
}

func (s *store) delete(key string) {
	delete(s.items, key)
	s.log = append(s.log, kvEvent{Key: key, Revision: s.rev, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// holder returns the name of the process that the seat item of a zone names. It stands for "that which last wrote to
// the store under a condition" when a day freezes or kills that process first.
func (s *store) holder(zone string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r struct {
		Name string `json:"name"`
	}
	json.Unmarshal(s.items["rr/seat/"+zone].Value, &r)
	return r.Name
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"atRev": rev})
		return
	}
	reply(w, 200, struct {
		kvItem
		AtRev int64 `json:"atRev"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []kvItem{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "atRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvEvent{}
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
		for ; i < len(s.log) && len(events) < 500; i++ {
			if strings.HasPrefix(s.log[i].Key, q.Get("prefix")) {
				events = append(events, s.log[i])
			}
		}
		rev, changed := s.rev, s.changed
		if i < len(s.log) && len(events) > 0 {
			rev = events[len(events)-1].Revision
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "atRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, 200, map[string]any{"events": events, "atRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, present := false, []kvItem{}
	for _, e := range t.Expect {
		it, ok := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		if ok {
			present = append(present, it)
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": present})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.delete(k)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMs int64 `json:"ttlMs"`
	}
	json.NewDecoder(r.Body).Decode(&b)
	ttl := time.Duration(min(max(b.TTLMs, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	reply(w, 200, map[string]any{})
}

func (s *store) drop(id int64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			s.delete(k)
		}
	}
	s.notify()
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.drop(id)
			}
		}
		s.mu.Unlock()
	}
}
