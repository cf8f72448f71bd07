package lab

import (
	"hash/fnv"
	"sort"
)

// Keeper returns the machine of a zone whose node the project's rendezvous hashing chooses first:
// it reads the store for its zone, and tells the other zones of it.
func (f *Fleet) Keeper(zone string) *VM {
	var in []*VM
	for _, v := range f.VMs {
		if v.Zone == zone {
			in = append(in, v)
		}
	}
	sort.Slice(in, func(i, j int) bool { return score(zone, in[i].Name) > score(zone, in[j].Name) })
	return in[0]
}

func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
