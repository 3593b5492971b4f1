package rrstore

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"rattanring/io/rretcd"
)

func FuzzWatch(f *testing.F) {
	f.Add(`{"result":{"header":{"revision":"4"},"created":true}}`)
	f.Add(`{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"7"}}]}}`)
	f.Add(`{"result":{"canceled":true,"compact_revision":"9"}}`)
	f.Add(`{"error":{"code":14,"message":"x"}}`)
	f.Add(`{"result":{"events":[{"kv":{"mod_revision":9}}]}}` + "\n{")
	f.Fuzz(func(t *testing.T, stream string) {
		const from = 3
		next, err := readWatch(strings.NewReader(stream), from, func(e Event) error {
			if e.Item.Mod < from {
				t.Errorf("got an event of revision %d, want %d or later", e.Item.Mod, from)
			}
			return nil
		})
		if next < from || err == nil {
			t.Errorf("got revision %d, error %v, want at least %d and an error", next, err, from)
		}
	})
}

func FuzzAnswers(f *testing.F) {
	f.Add(`{"header":{"revision":"4"},"kvs":[{"key":"YQ==","value":"Yg=="}],"count":"1"}`, 503)
	f.Add(`{"code":8,"message":"too many requests"}`, 429)
	f.Add(`{"succeeded":true,"responses":[{"response_range":{"kvs":[{}]}},{}]}`, 200)
	f.Fuzz(func(t *testing.T, body string, status int) {
		var txn rretcd.TxnResponse
		if json.Unmarshal([]byte(body), &txn) == nil {
			for _, r := range txn.Responses {
				if r.Range != nil {
					toRangeResult(r.Range)
				}
			}
		}
		var msg rretcd.Error
		if json.Unmarshal([]byte(body), &msg) == nil && msg.Code == 14 && msg.NotApplied() {
			t.Error("an error of an unavailable store says not applied, want maybe applied")
		}
		if status >= 500 && !statusMaybeApplied(status) {
			t.Errorf("status %d says not applied, want maybe applied", status)
		}
		var e *Error
		if !errors.As(notApplied("x", errSealed), &e) {
			t.Error("got no *Error")
		}
	})
}
