// This file owns what a scale test takes of the shipped client of the control tier.

package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/subscriber"
)

type (
	follower       = subscriber.Follow
	followerStatus = subscriber.Status
)

// openFollower begins a balancer's life; applied is called with each version that it has from then on, and with those alone that a
// snapshot ends with.
func openFollower(in *hollowBegin, one hollowOne, applied func(version uint64)) client {
	return subscriber.Open(subscriber.Options{Fleet: in.Fleet, Name: one.Name, ID: one.Name, Life: one.Life, Machine: one.Machine, Zone: one.Zone, Site: one.Site,
		Seeds: in.Seeds, Seed: in.Seed + uint64(one.Index)*7919 + one.Life, Now: boottime.Now, Log: zap.NewNop(),
		Applied: func(version uint64, _ []changefeed.Item, _ bool) { applied(version) }})
}

// tools are an operator's: followers that stand nowhere, and put what is put.
type tools struct{ all []*follower }

const manyTools = 2

func openTools(seeds []netip.AddrPort, seed uint64) *tools {
	t := &tools{}
	for i := range manyTools {
		name := fmt.Sprintf("tool-%d", i)
		t.all = append(t.all, subscriber.Open(subscriber.Options{Fleet: scaleFleet, Name: name, ID: name, Life: 1, Machine: "m-" + name, Zone: name, Site: name,
			Seeds: seeds, Seed: seed + uint64(i), Now: boottime.Now, Log: zap.NewNop()}))
	}
	return t
}

// put makes one try; the same op is never put twice, however often it is tried. It answers the version that it became.
func (t *tools) put(ctx context.Context, try int, key string, value []byte, op string) (version uint64, err error) {
	done := make(chan changefeed.PutDone, 1)
	t.all[try%len(t.all)].Put(changefeed.Put{Op: op, Key: key, Value: value, Any: true}, putWithin, func(d changefeed.PutDone) { done <- d })
	select {
	case d := <-done:
		if d.Refused != "" {
			return 0, errors.New(d.Refused)
		}
		return d.Version, nil
	case <-time.After(2 * putWithin):
		return 0, errors.New("no answer")
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (t *tools) close() {
	for _, f := range t.all {
		f.Close()
	}
}

// controlState is a control process's feed, as it reports it.
func controlState(r *fleet.Report) hollowState {
	if r.Publishing == nil {
		return hollowState{}
	}
	return hollowState{r.Publishing.Version, r.Publishing.Digest}
}
