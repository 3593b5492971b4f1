package rrplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rattanring/io/rretcd"
)

// kind says which rate a call counts against.
type kind int

const (
	read kind = iota
	write
)

// call wraps f, which runs with p.mu held, in the limits and faults of the service.
func call[Req, Resp any](p *Platform, k kind, f func(*Req) (Resp, *rretcd.Error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := decode(w, r, &req); err != nil {
			fail(w, err)
			return
		}
		if err := p.admit(r, k); err != nil {
			fail(w, err)
			return
		}
		resp, lost, err := serve(p, k, &req, f)
		p.pauseAnswer(r)
		if lost {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			fail(w, err)
			return
		}
		reply(w, resp)
	})
}

// serve runs one call and reports whether its answer gets lost.
func serve[Req, Resp any](p *Platform, k kind, req *Req, f func(*Req) (Resp, *rretcd.Error)) (resp Resp, lost bool, err *rretcd.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k == write {
		p.writes++
		if hits(p.faults.Drop, p.writes) {
			return resp, true, nil
		}
		lost = hits(p.faults.Lose, p.writes)
	}
	if p.store.expire(p.now()) {
		p.wake()
	}
	before := p.store.revision
	resp, err = f(req)
	if p.store.revision != before {
		p.wake()
	}
	return resp, lost, err
}

func hits(every, n int) bool {
	return every > 0 && n%every == 0
}

func decode(w http.ResponseWriter, r *http.Request, req any) *rretcd.Error {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, rretcd.MaxBodyBytes)).Decode(req)
	if err != nil {
		return &rretcd.Error{Code: rretcd.CodeInvalidArgument, Message: err.Error()}
	}
	return nil
}

func reply(w http.ResponseWriter, resp any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(resp)
}

func fail(w http.ResponseWriter, err *rretcd.Error) {
	status := http.StatusBadRequest
	switch err.Code {
	case rretcd.CodeResourceExhausted:
		status = http.StatusTooManyRequests
	case rretcd.CodeUnavailable:
		status = http.StatusServiceUnavailable
	case rretcd.CodeNotFound:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(err)
}

// view returns the store that reads see.
func (p *Platform) view() *store {
	if p.frozen != nil {
		return p.frozen
	}
	return &p.store
}

func (p *Platform) get(req *rretcd.RangeRequest) (*rretcd.RangeResponse, *rretcd.Error) {
	return p.view().get(req), nil
}

func (p *Platform) put(req *rretcd.PutRequest) (*rretcd.PutResponse, *rretcd.Error) {
	if err := checkPut(req); err != nil {
		return nil, err
	}
	p.store.put(req, p.store.next())
	return &rretcd.PutResponse{Header: p.store.header()}, nil
}

func (p *Platform) txn(req *rretcd.TxnRequest) (*rretcd.TxnResponse, *rretcd.Error) {
	if err := checkTxn(req); err != nil {
		return nil, err
	}
	return p.store.txn(req), nil
}

func (p *Platform) deleteRange(req *rretcd.DeleteRangeRequest) (*rretcd.DeleteRangeResponse, *rretcd.Error) {
	n := p.store.remove(req.Key, req.RangeEnd, p.store.next())
	return &rretcd.DeleteRangeResponse{Header: p.store.header(), Deleted: rretcd.Int(n)}, nil
}

func (p *Platform) grant(req *rretcd.GrantRequest) (*rretcd.LeaseResponse, *rretcd.Error) {
	if req.TTL <= 0 {
		return nil, invalid("TTL is %d, want at least 1", req.TTL)
	}
	return p.store.grant(p.now(), req), nil
}

func (p *Platform) keepAlive(req *rretcd.LeaseRequest) (*rretcd.KeepAliveResponse, *rretcd.Error) {
	return &rretcd.KeepAliveResponse{Result: p.store.keepAlive(p.now(), int64(req.ID))}, nil
}

func (p *Platform) revoke(req *rretcd.LeaseRequest) (*rretcd.PutResponse, *rretcd.Error) {
	if !p.store.revoke(int64(req.ID)) {
		return nil, &rretcd.Error{Code: rretcd.CodeNotFound, Message: "lease not found"}
	}
	return &rretcd.PutResponse{Header: p.store.header()}, nil
}

func checkTxn(req *rretcd.TxnRequest) *rretcd.Error {
	if max(len(req.Compare), len(req.Success), len(req.Failure)) > rretcd.MaxOps {
		return invalid("too many operations in a transaction, want at most %d", rretcd.MaxOps)
	}
	if err := checkOps(req.Success); err != nil {
		return err
	}
	return checkOps(req.Failure)
}

func checkOps(ops []rretcd.RequestOp) *rretcd.Error {
	seen := make(map[string]bool, len(ops))
	for _, op := range ops {
		if op.Range == nil && op.Put == nil && op.Delete == nil {
			return invalid("an operation is empty")
		}
		if op.Put == nil {
			continue
		}
		if err := checkPut(op.Put); err != nil {
			return err
		}
		if seen[string(op.Put.Key)] {
			return invalid("duplicate key given in a transaction")
		}
		seen[string(op.Put.Key)] = true
	}
	return nil
}

func checkPut(req *rretcd.PutRequest) *rretcd.Error {
	if len(req.Key) == 0 {
		return invalid("the key is empty")
	}
	if len(req.Value) > rretcd.MaxValueBytes {
		return invalid("the value has %d bytes, want at most %d", len(req.Value), rretcd.MaxValueBytes)
	}
	return nil
}

func invalid(format string, args ...any) *rretcd.Error {
	return &rretcd.Error{Code: rretcd.CodeInvalidArgument, Message: fmt.Sprintf(format, args...)}
}

// leaseCheck is how often a waiting watch looks for lapsed leases.
const leaseCheck = 200 * time.Millisecond

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req rretcd.WatchRequest
	if err := decode(w, r, &req); err != nil {
		fail(w, err)
		return
	}
	if err := p.admit(r, read); err != nil {
		fail(w, err)
		return
	}
	p.openWatch(1)
	defer p.openWatch(-1)
	p.stream(w, r, req.CreateRequest)
}

// stream sends changes until the caller goes, an outage begins or the caller
// asks for changes that are not kept any more.
func (p *Platform) stream(w http.ResponseWriter, r *http.Request, req rretcd.WatchCreateRequest) {
	out := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	first, next := p.begin(int64(req.StartRevision))
	out.Encode(rretcd.WatchMessage{Result: first})
	http.NewResponseController(w).Flush()
	if first.Canceled {
		return
	}
	for {
		res, change, away := p.poll(req, next)
		if away {
			panic(http.ErrAbortHandler)
		}
		if len(res.Events) > 0 {
			next = int64(res.Header.Revision) + 1
			out.Encode(rretcd.WatchMessage{Result: res})
			http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-change:
		case <-time.After(leaseCheck):
		}
	}
}

// begin returns the first message of a watch and the revision from which it sends.
func (p *Platform) begin(start int64) (rretcd.WatchResult, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.view()
	first := rretcd.WatchResult{Header: s.header(), Created: true}
	if start == 0 {
		return first, s.next()
	}
	if start <= s.dropped {
		first.Canceled = true
		first.CompactRevision = rretcd.Int(s.dropped + 1)
	}
	return first, start
}

// poll returns the changes from revision next on, a channel that tells of more,
// and whether an outage is on.
func (p *Platform) poll(req rretcd.WatchCreateRequest, next int64) (rretcd.WatchResult, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store.expire(p.now()) {
		p.wake()
	}
	s := p.view()
	events := s.since(req.Key, req.RangeEnd, next)
	return rretcd.WatchResult{Header: s.header(), Events: events}, p.changed(), p.faults.Outage
}
