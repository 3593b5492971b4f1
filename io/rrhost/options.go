package rrhost

import (
	"cmp"
	"slices"
	"time"
)

// SetSeeds replaces Options.Seeds of a running host. Queries that run are not interrupted.
func (h *Host) SetSeeds(addrs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Options.Seeds = slices.Clone(addrs)
}

// seeds returns the present seeds.
func (h *Host) seeds() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Options.Seeds
}

// SetRegistrationTTL replaces Options.RegistrationTTL of a running host; zero means that it is not known.
// A shorter one takes effect at once. A longer one takes effect after as much time as itself: until
// then registrations may exist that were made with the shorter one, and a copy of them that is trusted for
// too long hides minions from a new owner.
func (h *Host) SetRegistrationTTL(ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	effective := cmp.Or(h.RegistrationTTL, defaultRegistrationTTL)
	if now.Before(h.shorterTTLUntil) {
		effective = min(effective, h.shorterTTL)
	}
	h.RegistrationTTL = ttl
	if next := cmp.Or(ttl, defaultRegistrationTTL); next > effective {
		h.shorterTTL, h.shorterTTLUntil = effective, now.Add(next)
	}
}
