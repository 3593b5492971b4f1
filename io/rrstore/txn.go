package rrstore

import (
	"context"

	"rattanring/io/rretcd"
)

// MaxOps is the number of comparisons, or of operations, that a Txn can hold.
const MaxOps = rretcd.MaxOps

// Field is the part of an Item that a comparison looks at.
type Field int

// Fields of comparisons. A key that does not exist has zero in all of them.
const (
	Create Field = iota
	Mod
	Version
)

// If is a condition: the field of the key equals Value.
type If struct {
	Key   string
	Field Field
	Value int64
}

// Put writes Value to Key.
type Put struct {
	Key   string
	Value []byte
	Lease int64 // zero for none
}

// Op is one operation of a transaction; exactly one field is set.
type Op struct {
	Put    *Put
	Get    *Range
	Delete *Range
}

// Txn runs Then if all conditions hold and Else otherwise, as one step.
type Txn struct {
	If   []If
	Then []Op
	Else []Op
}

// Outcome is the answer to a Txn.
type Outcome struct {
	Revision  int64
	Succeeded bool
	Pages     []Page // one for each operation that ran, in order; empty for writes
}

// Txn runs one transaction. The service counts it as one write.
func (c *Client) Txn(ctx context.Context, txn Txn) (Outcome, error) {
	var resp rretcd.TxnResponse
	err := c.call(ctx, Write, rretcd.PathTxn, txnRequest(txn), &resp)
	if err != nil {
		return Outcome{}, err
	}
	out := Outcome{Revision: int64(resp.Header.Revision), Succeeded: resp.Succeeded}
	for _, r := range resp.Responses {
		if r.Range == nil {
			out.Pages = append(out.Pages, Page{})
			continue
		}
		out.Pages = append(out.Pages, page(r.Range))
	}
	return out, nil
}

func txnRequest(txn Txn) rretcd.TxnRequest {
	req := rretcd.TxnRequest{Success: requestOps(txn.Then), Failure: requestOps(txn.Else)}
	for _, c := range txn.If {
		req.Compare = append(req.Compare, compare(c))
	}
	return req
}

func compare(c If) rretcd.Compare {
	out := rretcd.Compare{Result: rretcd.ResultEqual, Key: []byte(c.Key)}
	switch c.Field {
	case Create:
		out.Target, out.Create = rretcd.TargetCreate, rretcd.Int(c.Value)
	case Mod:
		out.Target, out.Mod = rretcd.TargetMod, rretcd.Int(c.Value)
	case Version:
		out.Target, out.Version = rretcd.TargetVersion, rretcd.Int(c.Value)
	}
	return out
}

func requestOps(ops []Op) []rretcd.RequestOp {
	var out []rretcd.RequestOp
	for _, op := range ops {
		var r rretcd.RequestOp
		switch {
		case op.Put != nil:
			r.Put = putRequest(*op.Put)
		case op.Get != nil:
			r.Range = rangeRequest(*op.Get)
		case op.Delete != nil:
			r.Delete = deleteRequest(*op.Delete)
		}
		out = append(out, r)
	}
	return out
}

func rangeRequest(r Range) *rretcd.RangeRequest {
	return &rretcd.RangeRequest{Key: []byte(r.Key), RangeEnd: []byte(r.End), Limit: rretcd.Int(r.Limit)}
}

func deleteRequest(r Range) *rretcd.DeleteRangeRequest {
	return &rretcd.DeleteRangeRequest{Key: []byte(r.Key), RangeEnd: []byte(r.End)}
}

func putRequest(p Put) *rretcd.PutRequest {
	return &rretcd.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: rretcd.Int(p.Lease)}
}

func page(resp *rretcd.RangeResponse) Page {
	p := Page{Revision: int64(resp.Header.Revision), More: resp.More}
	for _, kv := range resp.Kvs {
		p.Items = append(p.Items, item(kv))
	}
	return p
}

func item(kv rretcd.KeyValue) Item {
	return Item{
		Key:     string(kv.Key),
		Value:   kv.Value,
		Create:  int64(kv.Create),
		Mod:     int64(kv.Mod),
		Version: int64(kv.Version),
		Lease:   int64(kv.Lease),
	}
}
