package main

import (
	"encoding/gob"
	"io"
	"slices"
	"testing"
)

// fakeFeedClient is a feedClient whose state the test sets.
type fakeFeedClient struct {
	balancer  hollowBalancer
	onApplied func(uint64)
	status    subscriberStatus
	values    map[string][]byte
}

func (c *fakeFeedClient) Status() subscriberStatus { return c.status }

func (c *fakeFeedClient) Get(key string) ([]byte, bool) {
	value, exists := c.values[key]
	return value, exists
}

func (c *fakeFeedClient) Close() {}

func (c *fakeFeedClient) apply(version, digest uint64) {
	c.status.Version, c.status.Digest = version, digest
	c.onApplied(version)
}

func eventsOf(messages []hollowMessage) (events []hollowEvent) {
	for _, message := range messages {
		events = append(events, message.Events...)
	}
	return events
}

// TestHollowHostReportsEventsAndStatus guards against lost or reordered events, events of an incarnation that was stopped, and counters that
// are lost when a balancer stops. It sends requests over a pipe, as the parent process does, and checks the messages.
func TestHollowHostReportsEventsAndStatus(t *testing.T) {
	requestReader, requestWriter := io.Pipe()
	messageReader, messageWriter := io.Pipe()
	defer func() { _ = requestWriter.Close() }()
	opened := make(chan *fakeFeedClient, 10)
	open := func(_ *hollowConfig, balancer hollowBalancer, onApplied func(uint64)) feedClient {
		c := &fakeFeedClient{balancer: balancer, onApplied: onApplied}
		c.status.Current = true
		c.status.Publishers = []string{"a", "b"}
		c.status.Sent = 10
		c.status.Stats.Snapshots = 1
		opened <- c
		return c
	}
	h := &hollowHost{messages: gob.NewEncoder(messageWriter), openClient: open}
	hostResult := make(chan error, 1)
	go func() { hostResult <- h.run(gob.NewDecoder(requestReader)) }()
	requests, decoder := gob.NewEncoder(requestWriter), gob.NewDecoder(messageReader)
	var messages []hollowMessage
	send := func(request hollowRequest) {
		t.Helper()
		if err := requests.Encode(request); err != nil {
			t.Fatal(err)
		}
	}
	status := func(number int) *hollowStatus {
		t.Helper()
		send(hollowRequest{StatusNumber: number, WithFinal: true})
		for {
			var message hollowMessage
			if err := decoder.Decode(&message); err != nil {
				t.Fatal(err)
			}
			messages = append(messages, message)
			if message.Status != nil {
				if message.Status.Number != number {
					t.Fatalf("status %d has number %d", number, message.Status.Number)
				}
				return message.Status
			}
		}
	}
	send(hollowRequest{Config: &hollowConfig{Fleet: "f", Balancers: []hollowBalancer{{Index: 4, Name: "b4"}, {Index: 7, Name: "b7"}}}})
	send(hollowRequest{Start: []int{4, 7}})
	client4, client7 := <-opened, <-opened
	client4.apply(5, 50)
	client7.apply(5, 50)
	client7.apply(6, 60)
	got := status(1)
	if got.Up != 2 || got.Current != 2 || got.States[feedState{5, 50}] != 1 || got.States[feedState{6, 60}] != 1 || got.Publishers["a"] != 2 ||
		got.Sent != 20 || got.Finals[7].Version != 6 || got.CPU <= 0 {
		t.Errorf("unexpected status %+v", got)
	}
	send(hollowRequest{Stop: []int{7}})
	if got = status(2); got.Up != 1 || got.Publishers["a"] != 1 || got.Sent != 20 || got.Snapshots != 2 {
		t.Errorf("unexpected status %+v", got) // the counters must include the incarnation that ended
	}
	client7.onApplied(9) // an event of an incarnation that has ended, which must be dropped
	send(hollowRequest{Start: []int{7}})
	restarted7 := <-opened
	if restarted7.balancer.Incarnation != 2 || client4.balancer.Incarnation != 1 {
		t.Errorf("incarnations %d of balancer 7 and %d of balancer 4, want 2 and 1", restarted7.balancer.Incarnation, client4.balancer.Incarnation)
	}
	restarted7.apply(7, 70)
	if got = status(3); got.Up != 2 || got.Sent != 30 || got.States[feedState{7, 70}] != 1 {
		t.Errorf("unexpected status %+v", got)
	}
	var gotEvents []hollowEvent
	for _, event := range eventsOf(messages) {
		if event.At <= 0 {
			t.Errorf("event without a time: %+v", event)
		}
		event.At = 0
		gotEvents = append(gotEvents, event)
	}
	wantEvents := []hollowEvent{
		{Balancer: 4, Kind: eventStarted},
		{Balancer: 7, Kind: eventStarted},
		{Balancer: 4, Kind: eventApplied, Version: 5},
		{Balancer: 7, Kind: eventApplied, Version: 5},
		{Balancer: 7, Kind: eventApplied, Version: 6},
		{Balancer: 7, Kind: eventStopped},
		{Balancer: 7, Kind: eventStarted},
		{Balancer: 7, Kind: eventApplied, Version: 7},
	}
	if !slices.Equal(gotEvents, wantEvents) {
		t.Errorf("got %v\nwant %v", gotEvents, wantEvents)
	}
	_ = requestWriter.Close()
	if err := <-hostResult; err != nil {
		t.Errorf("error at the end of the requests: %v", err)
	}
}
