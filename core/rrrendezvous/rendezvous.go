// Package rrrendezvous assigns keys evenly to nodes by rendezvous hashing: each key
// belongs to the node with the highest weight. All processes compute the same
// assignment, and adding or removing a node moves only the keys of that node.
package rrrendezvous

import "hash/fnv"

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(node))
	return mixBits(h.Sum64())
}

// mixBits is the 64-bit finalizer of MurmurHash3. FNV alone gives short names similar
// high bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
