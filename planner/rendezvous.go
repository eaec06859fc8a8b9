package planner

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// Rank tells how many of the daemons come before self in the order of turn
// for a key, 0 for the one whose turn it is. Every daemon that knows the
// same others computes the same order, and it changes little as daemons
// come and go. A wrong rank costs an append or an order in vain; it never
// endangers an invariant.
func Rank(self models.DaemonID, others []models.DaemonID, key string) int {
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

// Order lists the daemons in their order of turn for a key.
func Order(daemons []models.DaemonID, key string) []models.DaemonID {
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
	return Mix(h.Sum64())
}

// Mix spreads the bits of a hash whose inputs differ in few of them.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
