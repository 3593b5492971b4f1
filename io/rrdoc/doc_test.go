package rrdoc

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrconf"
)

var full = rrconf.Config{
	Version: 3,
	Change:  "c3",
	Author:  "ann",
	Preset:  rrconf.Peak,
	Open:    true,
	Tenants: []rrconf.Tenant{{Name: "ports", Weight: 2, Quota: 200}},
	Rules: map[rrconf.Preset]rrconf.Rules{
		rrconf.Peak: {Slack: 0.8, Backlog: 20 * time.Second, Retries: 0.05, Ageing: 20 * time.Second, Batch: 24},
	},
}

func TestRoundTrip(t *testing.T) {
	for _, c := range []rrconf.Config{full, rrconf.Default()} {
		got, err := FromWire(ToWire(c))
		if err != nil || !reflect.DeepEqual(got, c) {
			t.Errorf("got %+v, %v, want %+v", got, err, c)
		}
	}
}

func TestDecodeRefuses(t *testing.T) {
	tests := []struct {
		text, want string
	}{
		{`{"preset":"peak","open":true,"teants":[]}`, `unknown field "teants"`},
		{`{"preset":"peak","open":true,"rules":{"peak":{"slak":1}}}`, `unknown field "slak"`},
		{`{"preset":"peak"}`, `open: nothing is not allowed`},
		{`{"preset":"quiet","open":true}`, `preset: "quiet" is not allowed, want ordinary, peak or maintenance`},
		{`{"preset":"peak","open":true,"rules":{"peak":{"backlog":"20"}}}`, `rules.peak.backlog: "20" is not allowed`},
		{`{"preset":"peak","open":true,"rules":{"quiet":{"backlog":"1s","ageing":"1s"}}}`, `rules: "quiet" is not allowed`},
		{`{"preset":"peak","open":true} {}`, `text after the end`},
		{strings.Repeat(" ", MaxBytes+1), `want at most 1000000`},
		{``, `EOF`},
	}
	for _, tt := range tests {
		_, err := Decode([]byte(tt.text))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%.60s: got %v, want %s", tt.text, err, tt.want)
		}
	}
	_, err := Decode([]byte(`{"preset":"peak","open":true,"tenants":[{"name":"ports"}]}`))
	var field *rrconf.FieldError
	if !errors.As(err, &field) || field.Field != "tenants[0].weight" {
		t.Errorf("got %v, want a FieldError for tenants[0].weight", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(full))
	f.Add([]byte(`{"preset":"peak","open":true,"rules":{"peak":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		got, err := Decode(Encode(c))
		if err != nil || !reflect.DeepEqual(got, c) {
			t.Errorf("got %+v, %v, want %+v", got, err, c)
		}
	})
}
