package main

import (
	"encoding/gob"
	"io"
	"slices"
	"testing"
)

// fakeFeedClient is a subscriber whose state a test sets.
type fakeFeedClient struct {
	balancer  hollowBalancer
	onApplied func(uint64)
	status    subscriberStatus
	values    map[string][]byte
}

func (f *fakeFeedClient) Status() subscriberStatus { return f.status }

func (f *fakeFeedClient) Get(key string) ([]byte, bool) {
	value, exists := f.values[key]
	return value, exists
}

func (f *fakeFeedClient) Close() {}

func (f *fakeFeedClient) apply(version, digest uint64) {
	f.status.Version, f.status.Digest = version, digest
	f.onApplied(version)
}

func eventsOf(messages []hollowMessage) (events []hollowEvent) {
	for _, message := range messages {
		events = append(events, message.Events...)
	}
	return events
}

// TestHollowHostReportsEventsAndStatus sends requests over a pipe, as the parent process does, and checks the messages.
func TestHollowHostReportsEventsAndStatus(t *testing.T) {
	requestReader, requestWriter := io.Pipe()
	messageReader, messageWriter := io.Pipe()
	defer func() { _ = requestWriter.Close() }()
	opened := make(chan *fakeFeedClient, 10)
	open := func(_ *hollowConfig, balancer hollowBalancer, onApplied func(uint64)) feedClient {
		f := &fakeFeedClient{balancer: balancer, onApplied: onApplied}
		f.status.Current = true
		f.status.Publishers = []string{"a", "b"}
		f.status.Sent = 10
		f.status.Stats.Snapshots = 1
		opened <- f
		return f
	}
	h := &hollowHost{messages: gob.NewEncoder(messageWriter), openClient: open}
	ended := make(chan error, 1)
	go func() { ended <- h.run(gob.NewDecoder(requestReader)) }()
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
	four, seven := <-opened, <-opened
	four.apply(5, 50)
	seven.apply(5, 50)
	seven.apply(6, 60)
	l := status(1)
	if l.Up != 2 || l.Current != 2 || l.States[feedState{5, 50}] != 1 || l.States[feedState{6, 60}] != 1 || l.Publishers["a"] != 2 || l.Sent != 20 ||
		l.Finals[7].Version != 6 || l.CPU <= 0 {
		t.Errorf("%+v", l)
	}
	send(hollowRequest{Stop: []int{7}})
	if l = status(2); l.Up != 1 || l.Publishers["a"] != 1 || l.Sent != 20 || l.Snapshots != 2 {
		t.Errorf("%+v", l) // counters include the incarnation that ended
	}
	seven.onApplied(9) // of an incarnation that has ended
	send(hollowRequest{Start: []int{7}})
	again := <-opened
	if again.balancer.Incarnation != 2 || four.balancer.Incarnation != 1 {
		t.Errorf("incarnations %d and %d", again.balancer.Incarnation, four.balancer.Incarnation)
	}
	again.apply(7, 70)
	if l = status(3); l.Up != 2 || l.Sent != 30 || l.States[feedState{7, 70}] != 1 {
		t.Errorf("%+v", l)
	}
	var got []hollowEvent
	for _, m := range eventsOf(messages) {
		if m.At <= 0 {
			t.Errorf("%+v", m)
		}
		m.At = 0
		got = append(got, m)
	}
	want := []hollowEvent{
		{Balancer: 4, Kind: eventStarted},
		{Balancer: 7, Kind: eventStarted},
		{Balancer: 4, Kind: eventApplied, Version: 5},
		{Balancer: 7, Kind: eventApplied, Version: 5},
		{Balancer: 7, Kind: eventApplied, Version: 6},
		{Balancer: 7, Kind: eventStopped},
		{Balancer: 7, Kind: eventStarted},
		{Balancer: 7, Kind: eventApplied, Version: 7},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
	_ = requestWriter.Close()
	if err := <-ended; err != nil {
		t.Errorf("at the end of the requests: %v", err)
	}
}
