package rrhost

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrelection"
)

// Guards against a new owner that trusts an old copy of the registrations for longer than the registrations
// of minions with the former, shorter interval last.
func TestSetRegistrationTTL(t *testing.T) {
	h := New(Options{Self: rrelection.Member{Name: "a", Zone: "a"}, Zones: []string{"a"}, Logger: log.NewNopLogger(), RegistrationTTL: 6 * time.Second})
	for _, step := range []struct {
		ttl  time.Duration
		want time.Duration // trust in a copy
		wait bool          // then let the time pass for which shorter registrations may exist
	}{
		{ttl: 4500 * time.Millisecond, want: 3 * time.Second},
		{ttl: 6 * time.Second, want: 3 * time.Second},
		{ttl: 9 * time.Second, want: 3 * time.Second, wait: true},
		{ttl: 9 * time.Second, want: 7500 * time.Millisecond},
		{ttl: 0, want: 1500 * time.Millisecond}, // not known, so the default
		{ttl: 9 * time.Second, want: 1500 * time.Millisecond},
	} {
		h.SetRegistrationTTL(step.ttl)
		if got := h.copyTrustTime(); got != step.want {
			t.Errorf("%v: got %v, want %v", step.ttl, got, step.want)
		}
		if step.wait {
			h.shorterTTLUntil = time.Now()
		}
	}
}
