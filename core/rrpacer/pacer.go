// Package rrpacer decides how long a reader of a store's changes waits between two calls.
//
// A pause between calls gathers changes, which saves calls. Each answer holds a limited number of
// changes, though, so a reader that pauses after full answers falls behind a store with many writers,
// and what it knows grows older without an error.
package rrpacer

import "time"

// fullAnswer is the number of changes in an answer from which on more may wait. The platform's answers
// hold about 500.
const fullAnswer = 400

// Pacer paces one reader of changes. The zero value never pauses.
type Pacer struct {
	Interval time.Duration // pause between two calls while the reader keeps up

	newest int64 // highest revision at which the store is known to have been
}

// Observe records that the store was at a revision, as another call has shown.
func (p *Pacer) Observe(revision int64) {
	p.newest = max(p.newest, revision)
}

// Pause returns how long to wait before the next call, after an answer with a number of changes up to
// a revision. It is zero while the store may hold further changes.
func (p *Pacer) Pause(changes int, revision int64) time.Duration {
	if changes >= fullAnswer || revision < p.newest {
		return 0
	}
	return p.Interval
}
