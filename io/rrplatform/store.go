package rrplatform

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"rattanring/io/rretcd"
)

// minLogEvents is the number of latest changes that a trim of the log keeps. The log is
// trimmed when it has more than twice as many.
const minLogEvents = 20_000

// firstRevision is the revision of an empty store.
const firstRevision = 1

// store is the state of the key-value service. The zero value is empty.
type store struct {
	revision    int64
	items       map[string]rretcd.KeyValue
	log         []rretcd.Event // ordered by revision
	compacted   int64          // revision of the last change removed from the log
	leases      map[int64]lease
	lastLeaseID int64 // last lease ID that the store chose
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func (s *store) clone() *store {
	return &store{revision: s.revision, items: maps.Clone(s.items), log: slices.Clone(s.log), compacted: s.compacted}
}

func (s *store) header() rretcd.Header {
	return rretcd.Header{Revision: rretcd.Int(max(s.revision, firstRevision))}
}

func (s *store) nextRevision() int64 {
	return max(s.revision, firstRevision) + 1
}

// keys returns the keys of a range in ascending order.
func (s *store) keys(key, rangeEnd []byte) []string {
	if len(rangeEnd) == 0 {
		if _, ok := s.items[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var keys []string
	// as in etcd, a range end of one zero byte means all keys from key on
	toLast := len(rangeEnd) == 1 && rangeEnd[0] == 0
	for k := range s.items {
		if k >= string(key) && (toLast || k < string(rangeEnd)) {
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
	s.appendLog(rretcd.Event{KV: kv}, rev)
}

// remove deletes a range at revision rev and returns the number of deleted keys.
func (s *store) remove(key, rangeEnd []byte, rev int64) int {
	keys := s.keys(key, rangeEnd)
	for _, k := range keys {
		delete(s.items, k)
		deleted := rretcd.KeyValue{Key: []byte(k), ModRevision: rretcd.Int(rev)}
		s.appendLog(rretcd.Event{Type: rretcd.EventDelete, KV: deleted}, rev)
	}
	return len(keys)
}

// appendLog adds a change to the log and sets the revision to rev. A log of more than
// 2*minLogEvents changes is trimmed to the latest minLogEvents.
func (s *store) appendLog(e rretcd.Event, rev int64) {
	s.revision = rev
	s.log = append(s.log, e)
	if len(s.log) <= 2*minLogEvents {
		return
	}
	s.compacted = int64(s.log[len(s.log)-minLogEvents-1].KV.ModRevision)
	s.log = slices.Clone(s.log[len(s.log)-minLogEvents:])
}

func (s *store) compare(c rretcd.Compare) bool {
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
		resp.Succeeded = resp.Succeeded && s.compare(c)
	}
	ops := req.Success
	if !resp.Succeeded {
		ops = req.Failure
	}
	rev := s.nextRevision()
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

// eventsSince returns the changes of a range, beginning with revision from.
func (s *store) eventsSince(key, rangeEnd []byte, from int64) []rretcd.Event {
	i, _ := slices.BinarySearchFunc(s.log, from, func(e rretcd.Event, rev int64) int {
		return int(int64(e.KV.ModRevision) - rev)
	})
	var events []rretcd.Event
	for _, e := range s.log[i:] {
		if inRange(e.KV.Key, key, rangeEnd) {
			events = append(events, e)
		}
	}
	return events
}

func inRange(k, key, rangeEnd []byte) bool {
	if len(rangeEnd) == 0 {
		return bytes.Equal(k, key)
	}
	// as in etcd, a range end of one zero byte means all keys from key on
	toLast := len(rangeEnd) == 1 && rangeEnd[0] == 0
	return bytes.Compare(k, key) >= 0 && (toLast || bytes.Compare(k, rangeEnd) < 0)
}

func (s *store) grant(now time.Time, req *rretcd.GrantRequest) *rretcd.LeaseResponse {
	if s.leases == nil {
		s.leases = make(map[int64]lease)
	}
	id := int64(req.ID)
	if id == 0 {
		s.lastLeaseID++
		id = s.lastLeaseID
	}
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return &rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id), TTL: req.TTL}
}

// keepAlive renews a lease. It answers with a TTL of zero if the lease has ended.
func (s *store) keepAlive(now time.Time, id int64) rretcd.LeaseResponse {
	l, ok := s.leases[id]
	if !ok {
		return rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id)}
	}
	l.expiresAt = now.Add(l.ttl)
	s.leases[id] = l
	return rretcd.LeaseResponse{Header: s.header(), ID: rretcd.Int(id), TTL: rretcd.Int(l.ttl / time.Second)}
}

// revoke ends a lease and deletes its keys. It reports whether the lease existed.
func (s *store) revoke(id int64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	rev := s.nextRevision()
	for k, kv := range s.items {
		if int64(kv.Lease) == id {
			s.remove([]byte(k), nil, rev)
		}
	}
	return true
}

// expire revokes the expired leases and reports whether there were any.
func (s *store) expire(now time.Time) bool {
	expired := false
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			expired = s.revoke(id) || expired
		}
	}
	return expired
}
