package policy

import (
	"cmp"
	"slices"
)

// maxPools bounds the pools that are kept; beyond it the oldest one is dropped.
const maxPools = 64

// pool is one frozen set of ready endpoints. A new one is made when the set or its weights change.
type pool struct {
	endpoints   []*endpoint // by ID
	weights     []float64   // of the endpoints, when the pool was made
	totalWeight float64
	versionHash uint32 // the same at every balancer that has the same list
	sessions    int    // that were placed by this pool
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

// dropPools drops pools without sessions, and the oldest ones beyond maxPools. Their sessions keep their
// endpoint.
func (b *Balancer) dropPools() {
	newest := b.newestPool()
	excess := len(b.pools) - maxPools
	position := -1
	b.pools = slices.DeleteFunc(b.pools, func(p *pool) bool {
		position++
		return p != newest && (p.sessions == 0 || position < excess)
	})
}
