package rrhost

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rattanring/io/rrwire"
)

// An order with any number of empty phases must not be decoded, and one of legal size must be.
func TestTooManyFields(t *testing.T) {
	for _, tt := range []struct {
		phases int
		want   bool
	}{{0, false}, {4096, false}, {maxFields, false}, {maxFields + 1, true}} {
		order := &rrwire.Order{}
		for range tt.phases {
			order.Phases = append(order.Phases, &rrwire.Phase{})
		}
		body, err := proto.Marshal(order)
		if err != nil {
			t.Fatal(err)
		}
		if got := TooManyFields(body); got != tt.want {
			t.Errorf("%d phases: got %t, want %t", tt.phases, got, tt.want)
		}
	}
	if TooManyFields([]byte{0xff}) {
		t.Error("malformed body: got true, want false")
	}
}
