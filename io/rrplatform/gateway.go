package rrplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"rattanring/io/rretcd"
)

// callKind selects the rate limit that a call counts against.
type callKind int

const (
	readCall callKind = iota
	writeCall
)

// handle returns a handler that applies the rate limits and faults of the service and
// runs f. f is called with p.mu held.
func handle[Req, Resp any](p *Platform, k callKind, f func(*Req) (Resp, *rretcd.Error)) http.Handler {
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
		resp, lost, err := execute(p, k, &req, f)
		p.delayAnswer(r)
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

// execute runs one call and reports whether the caller must get no answer. It doesn't
// run a write that the fault DropWriteEvery selects.
func execute[Req, Resp any](p *Platform, k callKind, req *Req, f func(*Req) (Resp, *rretcd.Error)) (resp Resp, lost bool, err *rretcd.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k == writeCall {
		p.writeCount++
		if isNth(p.faults.DropWriteEvery, p.writeCount) {
			return resp, true, nil
		}
		lost = isNth(p.faults.LoseAnswerEvery, p.writeCount)
	}
	if p.store.expire(p.now()) {
		p.wakeWatches()
	}
	before := p.store.revision
	resp, err = f(req)
	if p.store.revision != before {
		p.wakeWatches()
	}
	return resp, lost, err
}

func isNth(every, n int) bool {
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

// readStore returns the store that reads and watches see. The caller holds mu.
func (p *Platform) readStore() *store {
	if p.frozen != nil {
		return p.frozen
	}
	return &p.store
}

func (p *Platform) get(req *rretcd.RangeRequest) (*rretcd.RangeResponse, *rretcd.Error) {
	return p.readStore().get(req), nil
}

func (p *Platform) put(req *rretcd.PutRequest) (*rretcd.PutResponse, *rretcd.Error) {
	if err := checkPut(req); err != nil {
		return nil, err
	}
	p.store.put(req, p.store.nextRevision())
	return &rretcd.PutResponse{Header: p.store.header()}, nil
}

func (p *Platform) txn(req *rretcd.TxnRequest) (*rretcd.TxnResponse, *rretcd.Error) {
	if err := checkTxn(req); err != nil {
		return nil, err
	}
	return p.store.txn(req), nil
}

func (p *Platform) deleteRange(req *rretcd.DeleteRangeRequest) (*rretcd.DeleteRangeResponse, *rretcd.Error) {
	n := p.store.remove(req.Key, req.RangeEnd, p.store.nextRevision())
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

// leaseCheckInterval is how often a waiting watch checks for expired leases.
const leaseCheckInterval = 200 * time.Millisecond

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req rretcd.WatchRequest
	if err := decode(w, r, &req); err != nil {
		fail(w, err)
		return
	}
	if err := p.admit(r, readCall); err != nil {
		fail(w, err)
		return
	}
	p.addWatches(1)
	defer p.addWatches(-1)
	p.stream(w, r, req.CreateRequest)
}

// stream sends changes until the caller disconnects or an outage begins. It ends at
// once if the caller asks for changes that have been compacted.
func (p *Platform) stream(w http.ResponseWriter, r *http.Request, req rretcd.WatchCreateRequest) {
	out := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	first, next := p.beginWatch(int64(req.StartRevision))
	out.Encode(rretcd.WatchMessage{Result: first})
	http.NewResponseController(w).Flush()
	if first.Canceled {
		return
	}
	for {
		res, wake, outage := p.changesSince(req, next)
		if outage {
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
		case <-wake:
		case <-time.After(leaseCheckInterval):
		}
	}
}

// beginWatch returns the first message of a watch and the first revision to send.
func (p *Platform) beginWatch(start int64) (rretcd.WatchResult, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.readStore()
	first := rretcd.WatchResult{Header: s.header(), Created: true}
	if start == 0 {
		return first, s.nextRevision()
	}
	if start <= s.compacted {
		first.Canceled = true
		first.CompactRevision = rretcd.Int(s.compacted + 1)
	}
	return first, start
}

// changesSince returns the changes from revision next on, a channel that is closed when
// there may be more, and whether there is an outage.
func (p *Platform) changesSince(req rretcd.WatchCreateRequest, next int64) (rretcd.WatchResult, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.store.expire(p.now()) {
		p.wakeWatches()
	}
	s := p.readStore()
	events := s.eventsSince(req.Key, req.RangeEnd, next)
	return rretcd.WatchResult{Header: s.header(), Events: events}, p.nextWake(), p.faults.Outage
}
