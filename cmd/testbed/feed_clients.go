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
	subscriberClient = subscriber.Client
	subscriberStatus = subscriber.Status
)

var errNoResponse = errors.New("no response to the put")

// openFeedClient starts the changefeed client of a new incarnation of a hollow balancer. onApplied is called with each version that the
// client reaches; after a snapshot, only with the version at which the snapshot ends.
func openFeedClient(config *hollowConfig, balancer hollowBalancer, onApplied func(version uint64)) feedClient {
	return subscriber.Open(subscriber.Options{
		Fleet:       config.Fleet,
		Name:        balancer.Name,
		ID:          balancer.Name,
		Incarnation: balancer.Incarnation,
		Machine:     balancer.Machine,
		Zone:        balancer.Zone,
		Site:        balancer.Site,
		Seeds:       config.Seeds,
		Seed:        config.Seed + uint64(balancer.Index)*7919 + balancer.Incarnation,
		Now:         boottime.Now,
		Log:         zap.NewNop(),
		OnUpdate:    func(update changefeed.Update) { onApplied(update.Version) },
	})
}

// operatorClients are clients that put settings, as an operator's tool does. Each is in a failure domain of its own, apart from those of
// the plan.
type operatorClients struct{ clients []*subscriberClient }

const operatorClientCount = 2 // retries alternate between the clients

func openOperatorClients(seeds []netip.AddrPort, seed uint64) *operatorClients {
	o := &operatorClients{}
	for i := range operatorClientCount {
		name := fmt.Sprintf("tool-%d", i)
		o.clients = append(o.clients, subscriber.Open(subscriber.Options{
			Fleet:       scaleFleetName,
			Name:        name,
			ID:          name,
			Incarnation: 1,
			Machine:     "m-" + name,
			Zone:        name,
			Site:        name,
			Seeds:       seeds,
			Seed:        seed + uint64(i),
			Now:         boottime.Now,
			Log:         zap.NewNop(),
		}))
	}
	return o
}

// put makes one attempt to put a value and returns the version that the value got. All attempts with one operationID take effect only
// once.
func (o *operatorClients) put(ctx context.Context, attempt int, key string, value []byte, operationID string) (version uint64, err error) {
	responses := make(chan changefeed.PutResponse, 1)
	client := o.clients[attempt%len(o.clients)]
	request := changefeed.PutRequest{OperationID: operationID, Key: key, Value: value, Unconditional: true}
	client.Put(request, putTimeout, func(response changefeed.PutResponse) { responses <- response })
	select {
	case response := <-responses:
		if response.RejectReason != "" {
			return 0, errors.New(response.RejectReason)
		}
		return response.Version, nil
	case <-time.After(2 * putTimeout):
		return 0, errNoResponse
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (o *operatorClients) close() {
	for _, client := range o.clients {
		client.Close()
	}
}

// publisherState returns the state that a control process publishes, or zero if it has no publisher.
func publisherState(report *fleet.Report) feedState {
	if report.Publisher == nil {
		return feedState{}
	}
	return feedState{Version: report.Publisher.Version, Digest: report.Publisher.Digest}
}
