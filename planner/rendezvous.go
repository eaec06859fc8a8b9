package planner

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// RendezvousRank returns how many daemons precede self in the rendezvous hashing order for a key;
// the daemon with rank 0 acts first. Daemons that know the same set of daemons compute the same
// order, and it changes little when daemons join or leave. A wrong rank only wastes an append or an
// order; no invariant depends on it.
func RendezvousRank(self models.DaemonID, others []models.DaemonID, key string) int {
	own := rendezvousWeight(self, key)
	rank := 0
	for _, d := range others {
		if d == self {
			continue
		}
		if w := rendezvousWeight(d, key); w > own || (w == own && d < self) {
			rank++
		}
	}
	return rank
}

// RendezvousOrder returns the daemons in the rendezvous hashing order for a key.
func RendezvousOrder(daemons []models.DaemonID, key string) []models.DaemonID {
	out := slices.Clone(daemons)
	slices.SortFunc(out, func(a, b models.DaemonID) int {
		if c := cmp.Compare(rendezvousWeight(b, key), rendezvousWeight(a, key)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

func rendezvousWeight(d models.DaemonID, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(d))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return MixHash(h.Sum64())
}

// MixHash is a 64-bit finalizer (that of MurmurHash3). It spreads the bits of hashes of inputs
// that differ in only a few bits.
func MixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
