package rretcd

import (
	"encoding/json"
	"os"
	"testing"
)

// TestRequestFormat checks that requests have the JSON form that the published gateway
// reads.
func TestRequestFormat(t *testing.T) {
	txn := TxnRequest{
		Compare: []Compare{
			{Result: ResultEqual, Target: TargetCreate, Key: []byte("foo"), CreateRevision: 0},
			{Result: ResultEqual, Target: TargetMod, Key: []byte("foo"), ModRevision: 7},
		},
		Success: []RequestOp{{Put: &PutRequest{Key: []byte("foo"), Value: []byte("bar")}}},
		Failure: []RequestOp{{Range: &RangeRequest{Key: []byte("foo")}}, {Delete: &DeleteRangeRequest{Key: []byte("foo")}}},
	}
	got, err := json.MarshalIndent(txn, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/txn.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(got)+"\n" != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// TestResponseFormat decodes responses in the form that the published gateway writes.
func TestResponseFormat(t *testing.T) {
	body, err := os.ReadFile("testdata/range.json")
	if err != nil {
		t.Fatal(err)
	}
	var resp RangeResponse
	if err := json.Unmarshal(body, &resp); err != nil {
		t.Fatal(err)
	}
	kv := resp.Kvs[0]
	if string(kv.Key) != "foo" || string(kv.Value) != "bar" || kv.ModRevision != 13 || kv.Lease != 7587848390000000000 || resp.Count != 1 {
		t.Errorf("got %+v", resp)
	}
	var e Error
	const refusal = `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`
	if err := json.Unmarshal([]byte(refusal), &e); err != nil || e.Code != CodeUnavailable || e.NotApplied() {
		t.Errorf("got %+v, %v, want code 14, which does not say not applied", e, err)
	}
}

func FuzzInt(f *testing.F) {
	f.Add(`"12"`)
	f.Add(`-3`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, text string) {
		var n, back Int
		if json.Unmarshal([]byte(text), &n) != nil {
			return
		}
		b, err := json.Marshal(n)
		if err != nil || json.Unmarshal(b, &back) != nil || back != n {
			t.Errorf("got %d after decoding %s, want %d", back, b, n)
		}
	})
}
