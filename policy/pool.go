package policy

import (
	"cmp"
	"slices"
)

// maxPools is the maximum number of pools. If there are more, the oldest are dropped.
const maxPools = 64

// pool is an immutable set of ready endpoints. A new pool is made when the set or a weight changes.
type pool struct {
	endpoints   []*endpoint // sorted by ID
	weights     []float64   // weights of the endpoints at the time when the pool was made
	totalWeight float64
	versionHash uint32 // equal at all balancers that have the same endpoint list
	sessions    int    // number of active sessions that were placed by this pool
}

func (b *Balancer) newestPool() *pool { return b.pools[len(b.pools)-1] }

// updatePool makes a new pool if the ready endpoints or their weights have changed.
func (b *Balancer) updatePool() {
	p := &pool{}
	for _, e := range b.endpoints {
		if e.State == Ready {
			p.endpoints = append(p.endpoints, e)
		}
	}
	slices.SortFunc(p.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.ID, y.ID) })
	for _, e := range p.endpoints {
		p.weights = append(p.weights, e.Weight)
		p.totalWeight += e.Weight
		p.versionHash = uint32(hashPair(uint64(p.versionHash), uint64(e.ID)))
	}
	newest := b.newestPool()
	if !slices.Equal(newest.endpoints, p.endpoints) || !slices.Equal(newest.weights, p.weights) {
		b.pools = append(b.pools, p)
		b.dropPools()
	}
	b.maxPoolWeight = max(b.maxPoolWeight, p.totalWeight)
}

// dropPools drops the pools that have no sessions, and the oldest ones if there are more than maxPools. The
// sessions of a dropped pool keep their endpoint.
func (b *Balancer) dropPools() {
	newest := b.newestPool()
	excess := len(b.pools) - maxPools
	position := -1
	b.pools = slices.DeleteFunc(b.pools, func(p *pool) bool {
		position++
		return p != newest && (p.sessions == 0 || position < excess)
	})
}
