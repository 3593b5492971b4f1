package rrplatform

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"rattanring/io/rretcd"
)

// maxLog is the number of changes that a watch can go back.
const maxLog = 20_000

// firstRevision is the revision of an empty store.
const firstRevision = 1

// store is the state of the key-value service. The zero value is empty.
type store struct {
	revision int64
	items    map[string]rretcd.KeyValue
	log      []rretcd.Event // in order of their revisions
	dropped  int64          // revision of the last change that left the log
	leases   map[int64]lease
	nextID   int64
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func (s *store) clone() *store {
	return &store{revision: s.revision, items: maps.Clone(s.items), log: slices.Clone(s.log), dropped: s.dropped}
}

func (s *store) header() rretcd.Header {
	return rretcd.Header{Revision: rretcd.Int(max(s.revision, firstRevision))}
}

// next returns the revision of the next change.
func (s *store) next() int64 {
	return max(s.revision, firstRevision) + 1
}

// keys returns the keys of a range in order.
func (s *store) keys(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := s.items[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var keys []string
	toLast := len(end) == 1 && end[0] == 0
	for k := range s.items {
		if k >= string(key) && (toLast || k < string(end)) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) get(req *rretcd.RangeRequest) *rretcd.RangeResponse {
	keys := s.keys(req.Key, req.RangeEnd)
	resp := &rretcd.RangeResponse{Header: s.header(), Count: rretcd.Int(len(keys))}
	if req.Limit > 0 && int(req.Limit) < len(keys) {
		keys = keys[:req.Limit]
		resp.More = true
	}
	for _, k := range keys {
		resp.Kvs = append(resp.Kvs, s.items[k])
	}
	return resp
}

// put writes one key at revision rev.
func (s *store) put(req *rretcd.PutRequest, rev int64) {
	if s.items == nil {
		s.items = make(map[string]rretcd.KeyValue)
	}
	kv, ok := s.items[string(req.Key)]
	if !ok {
		kv = rretcd.KeyValue{Key: req.Key, CreateRevision: rretcd.Int(rev)}
	}
	kv.ModRevision = rretcd.Int(rev)
	kv.Version++
	kv.Value = req.Value
	kv.Lease = req.Lease
	s.items[string(req.Key)] = kv
	s.note(rretcd.Event{KV: kv}, rev)
}

// remove deletes a range at revision rev and returns the number of keys.
func (s *store) remove(key, end []byte, rev int64) int {
	keys := s.keys(key, end)
	for _, k := range keys {
		delete(s.items, k)
		gone := rretcd.KeyValue{Key: []byte(k), ModRevision: rretcd.Int(rev)}
		s.note(rretcd.Event{Type: rretcd.EventDelete, KV: gone}, rev)
	}
	return len(keys)
}

// note adds a change to the log and raises the revision to rev.
func (s *store) note(e rretcd.Event, rev int64) {
	s.revision = rev
	s.log = append(s.log, e)
	if len(s.log) <= 2*maxLog {
		return
	}
	s.dropped = int64(s.log[len(s.log)-maxLog-1].KV.ModRevision)
	s.log = slices.Clone(s.log[len(s.log)-maxLog:])
}

func (s *store) holds(c rretcd.Compare) bool {
	kv := s.items[string(c.Key)]
	got, want := kv.Version, c.Version
	switch c.Target {
	case rretcd.TargetCreate:
		got, want = kv.CreateRevision, c.CreateRevision
	case rretcd.TargetMod:
		got, want = kv.ModRevision, c.ModRevision
	}
	switch c.Result {
	case rretcd.ResultGreater:
		return got > want
	case rretcd.ResultLess:
		return got < want
	case rretcd.ResultNotEqual:
		return got != want
	}
	return got == want
}

func (s *store) txn(req *rretcd.TxnRequest) *rretcd.TxnResponse {
	resp := &rretcd.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		resp.Succeeded = resp.Succeeded && s.holds(c)
	}
	ops := req.Success
	if !resp.Succeeded {
		ops = req.Failure
	}
	rev := s.next()
	for _, op := range ops {
		resp.Responses = append(resp.Responses, s.apply(op, rev))
	}
	resp.Header = s.header()
	return resp
}

func (s *store) apply(op rretcd.RequestOp, rev int64) rretcd.ResponseOp {
	switch {
	case op.Range != nil:
		return rretcd.ResponseOp{Range: s.get(op.Range)}
	case op.Put != nil:
		s.put(op.Put, rev)
		return rretcd.ResponseOp{Put: &rretcd.PutResponse{Header: s.header()}}
	}
	n := s.remove(op.Delete.Key, op.Delete.RangeEnd, rev)
	return rretcd.ResponseOp{Delete: &rretcd.DeleteRangeResponse{Header: s.header(), Deleted: rretcd.Int(n)}}
}

// since returns the changes of a range from revision from on.
func (s *store) since(key, end []byte, from int64) []rretcd.Event {
	i, _ := slices.BinarySearchFunc(s.log, from, func(e rretcd.Event, rev int64) int {
		return int(int64(e.KV.ModRevision) - rev)
	})
	var events []rretcd.Event
	for _, e := range s.log[i:] {
		if inRange(e.KV.Key, key, end) {
			events = append(events, e)
		}
	}
	return events
}

func inRange(k, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(k, key)
	}
	toLast := len(end) == 1 && end[0] == 0
	return bytes.Compare(k, key) >= 0 && (toLast || bytes.Compare(k, end) < 0)
}

func (s *store) grant(now time.Time, req *rretcd.GrantRequest) *rretcd.LeaseResponse {
	if s.leases == nil {
		s.leases = make(map[int64]lease)
	}
	id := int64(req.ID)
	if id == 0 {
		s.nextID++
		id = s.nextID
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = lease{ttl: ttl, end: now.Add(ttl)}
	return &rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id), TTL: req.TTL}
}

// keepAlive answers a TTL of zero when the lease is gone.
func (s *store) keepAlive(now time.Time, id int64) rretcd.LeaseResponse {
	l, ok := s.leases[id]
	if !ok {
		return rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id)}
	}
	l.end = now.Add(l.ttl)
	s.leases[id] = l
	return rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id), TTL: rretcd.Int(l.ttl / time.Second)}
}

// revoke ends a lease, deletes its keys and reports whether there was one.
func (s *store) revoke(id int64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	rev := s.next()
	for k, kv := range s.items {
		if int64(kv.Lease) == id {
			s.remove([]byte(k), nil, rev)
		}
	}
	return true
}

// expire ends the leases that lapsed and reports whether there were any.
func (s *store) expire(now time.Time) bool {
	any := false
	for id, l := range s.leases {
		if now.After(l.end) {
			any = s.revoke(id) || any
		}
	}
	return any
}
