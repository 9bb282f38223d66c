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
	follower       = subscriber.Client
	followerStatus = subscriber.Status
)

// openFollower begins a balancer's life; applied is called with each version that it has from then on, and with those alone that a
// snapshot ends with.
func openFollower(in *hollowBegin, one hollowOne, applied func(version uint64)) client {
	return subscriber.Open(subscriber.Options{Fleet: in.Fleet, Name: one.Name, ID: one.Name, Incarnation: one.Life, Machine: one.Machine, Zone: one.Zone, Site: one.Site,
		Seeds: in.Seeds, Seed: in.Seed + uint64(one.Index)*7919 + one.Life, Now: boottime.Now, Log: zap.NewNop(),
		OnUpdate: func(update changefeed.Update) { applied(update.Version) }})
}

// tools are an operator's: followers that stand nowhere, and put what is put.
type tools struct{ all []*follower }

const manyTools = 2

func openTools(seeds []netip.AddrPort, seed uint64) *tools {
	t := &tools{}
	for i := range manyTools {
		name := fmt.Sprintf("tool-%d", i)
		t.all = append(t.all, subscriber.Open(subscriber.Options{Fleet: scaleFleet, Name: name, ID: name, Incarnation: 1, Machine: "m-" + name, Zone: name, Site: name,
			Seeds: seeds, Seed: seed + uint64(i), Now: boottime.Now, Log: zap.NewNop()}))
	}
	return t
}

// put makes one try; the same op is never put twice, however often it is tried. It answers the version that it became.
func (t *tools) put(ctx context.Context, try int, key string, value []byte, op string) (version uint64, err error) {
	done := make(chan changefeed.PutResponse, 1)
	t.all[try%len(t.all)].Put(changefeed.PutRequest{OperationID: op, Key: key, Value: value, Unconditional: true}, putWithin, func(d changefeed.PutResponse) { done <- d })
	select {
	case d := <-done:
		if d.RejectReason != "" {
			return 0, errors.New(d.RejectReason)
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
	if r.Publisher == nil {
		return hollowState{}
	}
	return hollowState{r.Publisher.Version, r.Publisher.Digest}
}
