package rrstore

import (
	"context"

	"rattanring/io/rretcd"
)

// MaxOps is the maximum number of conditions, and of operations, in a Txn.
const MaxOps = rretcd.MaxOps

// Field selects the field of an Item that a Condition compares.
type Field int

// Values of Field. All fields of a key that does not exist are zero.
const (
	FieldCreateRevision Field = iota
	FieldModRevision
	FieldVersion
)

// Condition holds if the field of the key equals Value.
type Condition struct {
	Key   string
	Field Field
	Value int64
}

// Put writes Value to Key.
type Put struct {
	Key   string
	Value []byte
	Lease int64 // ID of the lease to attach the key to; zero means none
}

// Op is one operation of a transaction; exactly one field is set.
type Op struct {
	Put    *Put
	Get    *Range
	Delete *Range
}

// Txn is a transaction, which the store executes atomically: it runs Then if all
// conditions hold and Else otherwise.
type Txn struct {
	If   []Condition
	Then []Op
	Else []Op
}

// TxnResult is the response to a Txn.
type TxnResult struct {
	Revision  int64
	Succeeded bool
	Results   []RangeResult // one for each operation that ran, in order; zero for writes
}

// Txn runs a transaction. The store counts it as one write.
func (c *Client) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	var resp rretcd.TxnResponse
	err := c.call(ctx, Write, rretcd.PathTxn, txnRequest(txn), &resp)
	if err != nil {
		return TxnResult{}, err
	}
	out := TxnResult{Revision: int64(resp.Header.Revision), Succeeded: resp.Succeeded}
	for _, r := range resp.Responses {
		if r.Range == nil {
			out.Results = append(out.Results, RangeResult{})
			continue
		}
		out.Results = append(out.Results, toRangeResult(r.Range))
	}
	return out, nil
}

func txnRequest(txn Txn) rretcd.TxnRequest {
	req := rretcd.TxnRequest{Success: toRequestOps(txn.Then), Failure: toRequestOps(txn.Else)}
	for _, c := range txn.If {
		req.Compare = append(req.Compare, toCompare(c))
	}
	return req
}

func toCompare(c Condition) rretcd.Compare {
	out := rretcd.Compare{Result: rretcd.ResultEqual, Key: []byte(c.Key)}
	switch c.Field {
	case FieldCreateRevision:
		out.Target, out.CreateRevision = rretcd.TargetCreate, rretcd.Int(c.Value)
	case FieldModRevision:
		out.Target, out.ModRevision = rretcd.TargetMod, rretcd.Int(c.Value)
	case FieldVersion:
		out.Target, out.Version = rretcd.TargetVersion, rretcd.Int(c.Value)
	}
	return out
}

func toRequestOps(ops []Op) []rretcd.RequestOp {
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

func toRangeResult(resp *rretcd.RangeResponse) RangeResult {
	result := RangeResult{Revision: int64(resp.Header.Revision), More: resp.More}
	for _, kv := range resp.Kvs {
		result.Items = append(result.Items, toItem(kv))
	}
	return result
}

func toItem(kv rretcd.KeyValue) Item {
	return Item{
		Key:     string(kv.Key),
		Value:   kv.Value,
		Create:  int64(kv.CreateRevision),
		Mod:     int64(kv.ModRevision),
		Version: int64(kv.Version),
		Lease:   int64(kv.Lease),
	}
}
