// Package rrrendezvous divides things evenly among holders by rendezvous hashing: each
// thing belongs to the holder with the highest weight. All processes agree, and a holder
// that comes or goes moves only its own things.
package rrrendezvous

import "hash/fnv"

// Weight returns the weight of a holder for a thing.
func Weight(key, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(node))
	return mixBits(h.Sum64())
}

// mixBits spreads the bits of x; FNV alone leaves the high bits of short names alike.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
