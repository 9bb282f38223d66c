package publisher_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/framing"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/subscriber"
)

const waitTimeout = 20 * time.Second

// fakeBackend completes operations and puts. While it is paused, it keeps them.
type fakeBackend struct {
	mu          sync.Mutex
	isPaused    bool
	paused      []func()
	seen        map[string]int // submissions by operation ID
	lastVersion atomic.Uint64
}

func (b *fakeBackend) Submit(op replication.Operation, _ time.Duration, done func(replication.Result)) {
	b.execute(op.ID, func() {
		done(replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: replication.Record{Key: op.Key, Version: 7}})
	})
}

func (b *fakeBackend) Put(p shardmap.Put, _ time.Duration, done func(shardmap.PutResult)) {
	b.execute(p.OperationID, func() { done(shardmap.PutResult{OperationID: p.OperationID, Version: b.lastVersion.Add(1)}) })
}

func (b *fakeBackend) execute(operationID string, complete func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen == nil {
		b.seen = map[string]int{}
	}
	b.seen[operationID]++
	if b.isPaused {
		b.paused = append(b.paused, complete)
	} else {
		go complete()
	}
}

func (b *fakeBackend) pausedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.paused)
}

// testTier consists of the publishers of several control processes, which receive the same agreed state.
type testTier struct {
	t             *testing.T
	log           *changefeed.Log // agreed state, guarded by mu
	servers       []*publisher.Server
	backends      []*fakeBackend
	transports    []*gossip.Transport
	addresses     []netip.AddrPort
	stop          chan struct{}
	goroutines    sync.WaitGroup
	withoutLeader atomic.Bool // no versions are confirmed
	mu            sync.Mutex
}

// newTestTier starts publishers, each of which accepts at most maxSubscribers. They are closed at the end of the test.
func newTestTier(t *testing.T, count, maxSubscribers int) *testTier {
	tier := &testTier{t: t, log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), stop: make(chan struct{})}
	for i := range count {
		var transport *gossip.Transport
		var addr netip.AddrPort
		for try := range 20 { // a port that is free for TCP may be in use for UDP
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr = ln.Addr().(*net.TCPAddr).AddrPort()
			_ = ln.Close()
			if transport, err = gossip.Listen(addr, addr, maxSubscribers+publisher.ExtraStreams); err == nil {
				break
			} else if try == 19 {
				t.Fatal(err)
			}
		}
		server := publisher.New(publisher.Options{ID: fmt.Sprint("c", i), Fleet: "lab", MaxSubscribers: maxSubscribers, Seed: uint64(i), Streams: transport, Now: boottime.Now, Log: zap.NewNop()})
		backend := &fakeBackend{}
		server.Start(backend)
		tier.servers = append(tier.servers, server)
		tier.backends = append(tier.backends, backend)
		tier.transports = append(tier.transports, transport)
		tier.addresses = append(tier.addresses, addr)
	}
	tier.publish(changefeed.Item{Key: changefeed.FleetKey, Value: []byte("f")})
	tier.goroutines.Add(1)
	go func() {
		defer tier.goroutines.Done()
		for {
			select {
			case <-tier.stop:
				return
			case <-time.After(50 * time.Millisecond):
				now := boottime.Now()
				tier.mu.Lock()
				version := tier.log.Version()
				tier.mu.Unlock()
				if !tier.withoutLeader.Load() {
					for _, server := range tier.servers {
						server.VersionConfirmed(now, version)
					}
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(tier.stop)
		tier.goroutines.Wait()
		for i := range tier.servers {
			tier.closeServer(i)
		}
	})
	return tier
}

// closeServer closes a publisher and its transport, as the end of its process does.
func (tier *testTier) closeServer(i int) {
	_ = tier.transports[i].Shutdown()
	tier.servers[i].Close()
}

// publish appends a change to the agreed state, reports it to all publishers and returns its version.
func (tier *testTier) publish(items ...changefeed.Item) uint64 {
	tier.t.Helper()
	tier.mu.Lock()
	defer tier.mu.Unlock()
	c, err := tier.log.Append(items)
	if err != nil {
		tier.t.Fatal(err)
	}
	for _, server := range tier.servers {
		server.StateChanged(nil, []*changefeed.Change{&c})
	}
	return c.Version
}

// testClient is a subscriber that verifies the order of its updates.
type testClient struct {
	*subscriber.Client
	mu          sync.Mutex
	lastVersion uint64
	violation   string // latest update that was out of order
	updates     int    // number of updates
}

// newClient starts a subscriber. It is closed at the end of the test.
func (tier *testTier) newClient(i int) *testClient {
	client := &testClient{}
	onUpdate := func(update changefeed.Update) {
		client.mu.Lock()
		defer client.mu.Unlock()
		client.updates++
		if update.Version <= client.lastVersion || !update.Complete && update.Version != client.lastVersion+1 {
			client.violation = fmt.Sprintf("version %d (complete %v) after %d", update.Version, update.Complete, client.lastVersion)
		}
		client.lastVersion = update.Version
	}
	client.Client = subscriber.Open(subscriber.Options{Fleet: "lab", Name: fmt.Sprint("b", i), ID: fmt.Sprint("id", i), Incarnation: 1, Zone: "z", Site: "s", Seeds: tier.addresses,
		Seed: uint64(i), Now: boottime.Now, Log: zap.NewNop(), OnUpdate: onUpdate})
	tier.t.Cleanup(client.Close)
	return client
}

// check reports an update that was out of order.
func (c *testClient) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.violation != "" {
		t.Error(c.violation)
	}
}

// waitFor waits until a condition holds. The test fails after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, description)
		}
	}
}

// allClients returns the condition that another condition holds for all clients.
func allClients(all []*testClient, condition func(subscriber.Status) bool) func() bool {
	return func() bool {
		for _, client := range all {
			if !condition(client.Status()) {
				return false
			}
		}
		return true
	}
}

// TestEverySubscriberReceivesEachVersion guards against lost, repeated or reordered versions, and against a slow subscriber that delays others.
// Two control processes publish changes to 20 subscribers while another subscriber reads nothing; then one control process ends.
func TestEverySubscriberReceivesEachVersion(t *testing.T) {
	tier := newTestTier(t, 2, 100)
	var all []*testClient
	for i := range 20 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "all are current and follow both publishers", allClients(all, func(s subscriber.Status) bool {
		return s.Current && len(s.Publishers) == 2 && s.Version == 1 && s.Fleet == "f"
	}))

	slow, err := net.Dial("tcp", tier.addresses[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	_ = slow.(*net.TCPConn).SetReadBuffer(4096)
	frames := []byte{framing.StreamMark}
	for _, body := range [][]byte{framing.Encode(framing.Greeting{Fleet: "lab"}), changefeed.Encode(&changefeed.Message{Hello: &changefeed.Hello{ProtocolVersion: changefeed.ProtocolVersion, ID: "slow", Incarnation: 1}})} {
		frames = append(append(frames, framing.Header(body)...), body...)
	}
	_, _ = slow.Write(frames)
	waitFor(t, "the slow subscriber is connected", func() bool { return tier.servers[0].Status().Subscribers.Connected == 21 })

	value := make([]byte, 8<<10)
	for i := range 200 { // 1.6 MB: more than the window and more changes than the log of the agreed state retains
		value[0] = byte(i)
		tier.publish(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: append([]byte(nil), value...)})
	}
	waitFor(t, "all have the newest version", allClients(all, func(s subscriber.Status) bool { return s.Version == 201 && s.Current }))
	waitFor(t, "all others have acknowledged it, and the session of the slow subscriber is closed", func() bool {
		s := tier.servers[0].Status()
		if s.Subscribers.Connected == 21 && s.Subscribers.LowestVersion > 100 {
			t.Fatalf("the slow subscriber is counted with version %d", s.Subscribers.LowestVersion)
		}
		return s.Subscribers.Connected == 20 && s.Subscribers.Current == 20 && s.Stats.LeaseExpiries == 1
	})
	tier.closeServer(0)
	waitFor(t, "all follow only the other publisher", allClients(all, func(s subscriber.Status) bool { return len(s.Publishers) == 1 && s.Current }))
	tier.publish(changefeed.Item{Key: "config/last", Value: []byte("x")})
	waitFor(t, "all have the last change", allClients(all, func(s subscriber.Status) bool { return s.Version == 202 && s.Digest == tier.log.Digest() }))
	for _, client := range all {
		client.check(t)
		if s := client.Status(); s.Stats.Snapshots > 1 || s.Stats.DigestMismatches+s.Stats.Conflicts+s.Stats.InvalidMessages > 0 {
			t.Errorf("more than one snapshot, or an error: %+v", s.Stats)
		}
		if v, _ := client.Get("config/last"); string(v) != "x" {
			t.Errorf("config/last is %q, want \"x\"", v)
		}
	}
	tier.withoutLeader.Store(true) // ends the confirmations
	waitFor(t, "none is current", allClients(all, func(s subscriber.Status) bool { return !s.Current }))
}

// TestOperationsOfSubscribers guards against a subscriber that exhausts a control process, results that reach the wrong submitter, and
// operations that are lost with a connection. It submits more operations than are accepted, and then closes the control process that has
// them pending.
func TestOperationsOfSubscribers(t *testing.T) {
	tier := newTestTier(t, 2, 100)
	client, other := tier.newClient(1), tier.newClient(2)
	waitFor(t, "both subscribers follow both publishers", allClients([]*testClient{client, other}, func(s subscriber.Status) bool { return len(s.Publishers) == 2 }))
	submit := func(client *testClient, id string, timeout time.Duration) <-chan replication.Result {
		results := make(chan replication.Result, 2)
		client.Submit(replication.Operation{ID: id, Key: id}, timeout, func(result replication.Result) { results <- result })
		return results
	}
	for i, client := range []*testClient{client, other} {
		if got := <-submit(client, fmt.Sprint("a", i), waitTimeout); got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("a", i) || got.Record.Version != 7 {
			t.Errorf("result of the operation: %+v", got)
		}
	}
	for _, b := range tier.backends {
		b.mu.Lock()
		b.isPaused = true
		b.mu.Unlock()
	}
	const maxPending = 256
	var results []<-chan replication.Result
	for i := range maxPending + 1 {
		results = append(results, submit(client, fmt.Sprint("b", i), waitTimeout))
	}
	if got := <-results[maxPending]; got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("operation beyond the limit: %+v, want a rejection", got)
	}
	busyServer := 0 // index of the publisher that has the operations
	if tier.backends[1].pausedCount() == maxPending {
		busyServer = 1
	}
	waitFor(t, "all operations are pending", func() bool { return tier.backends[busyServer].pausedCount() == maxPending })
	if got := <-submit(other, "c", 50*time.Millisecond); got.Outcome != replication.OutcomeUnknown {
		t.Errorf("operation without a result in time: %+v, want OutcomeUnknown", got)
	}
	tier.backends[1-busyServer].mu.Lock()
	tier.backends[1-busyServer].isPaused = false
	tier.backends[1-busyServer].mu.Unlock()
	tier.closeServer(busyServer)
	for i, result := range results[:maxPending] {
		select {
		case got := <-result:
			if got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("b", i) {
				t.Fatalf("result after the operation was submitted again to the other publisher: %+v", got)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("operation b%d was not submitted again", i)
		}
	}
	done := make(chan changefeed.PutResponse, 1)
	client.Put(changefeed.PutRequest{OperationID: "p", Key: "config/a", Unconditional: true}, waitTimeout, func(d changefeed.PutResponse) { done <- d })
	if d := <-done; d.Version == 0 || d.RejectReason != "" {
		t.Errorf("response to the put: %+v", d)
	}
	tier.closeServer(1 - busyServer)
	waitFor(t, "no publisher is left", func() bool { return len(client.Status().Publishers) == 0 })
	if got := <-submit(client, "d", 50*time.Millisecond); got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("operation without a publisher: %+v, want a rejection", got)
	}
}

// TestRejectedConnections guards against connections that stay open without a session: one subscriber is above the limit, one belongs to
// another fleet, and two send something else than a greeting and a Hello. Only the one above the limit is answered, with a time after which
// to retry.
func TestRejectedConnections(t *testing.T) {
	tier := newTestTier(t, 1, 3)
	var all []*testClient
	for i := range 3 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "three subscribers are current", allClients(all, func(s subscriber.Status) bool { return s.Current }))
	hello := func(id string) []byte {
		return changefeed.Encode(&changefeed.Message{Hello: &changefeed.Hello{ProtocolVersion: changefeed.ProtocolVersion, ID: id, Incarnation: 1}})
	}
	greeting := framing.Encode(framing.Greeting{Fleet: "lab"})
	for name, bodies := range map[string][][]byte{
		"one too many":     {greeting, hello("x")},
		"of another fleet": {framing.Encode(framing.Greeting{Fleet: "other"}), hello("id0")},
		"no hello":         {greeting, changefeed.Encode(&changefeed.Message{RenewRequest: &changefeed.RenewRequest{Sequence: 1}})},
		"no greeting":      {[]byte("?")},
	} {
		c, err := net.Dial("tcp", tier.addresses[0].String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		frames := []byte{framing.StreamMark}
		for _, body := range bodies {
			frames = append(append(frames, framing.Header(body)...), body...)
		}
		_, _ = c.Write(frames)
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		text, err := io.ReadAll(c)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			t.Errorf("%s: the connection stays open", name)
		}
		var answer changefeed.Message
		if len(text) > framing.HeaderSize {
			answer, _ = changefeed.Decode(text[framing.HeaderSize:])
		}
		if reject := answer.Reject; (reject != nil) != (name == "one too many") || reject != nil && reject.RetryAfter <= 0 {
			t.Errorf("%s: answer %q", name, text)
		}
	}
	if s := tier.servers[0].Status(); s.Subscribers.Connected != 3 {
		t.Errorf("subscribers %+v, want 3 connected", s.Subscribers)
	}
	for _, client := range all {
		client.check(t)
	}
}

// TestShardConfigurationsAreNotSent guards against load from shard configurations, many of which change when a control process is lost: they
// must not be sent to subscribers, which still have to become current at the agreed version.
func TestShardConfigurationsAreNotSent(t *testing.T) {
	tier := newTestTier(t, 2, 10)
	client := tier.newClient(0)
	waitFor(t, "the subscriber is current and follows both publishers", func() bool { s := client.Status(); return s.Current && len(s.Publishers) == 2 && s.Version == 1 })
	value := make([]byte, 600)
	before := client.Status().Received
	for i := range 240 {
		tier.publish(changefeed.Item{Key: fmt.Sprint("view/", i), Value: value})
	}
	last := tier.publish(changefeed.Item{Key: "config/last", Value: []byte("x")})
	waitFor(t, "the subscriber has acknowledged the last version to both publishers", func() bool {
		return client.Status().Version == last && tier.servers[0].Status().Subscribers.LowestVersion == last && tier.servers[1].Status().Subscribers.LowestVersion == last
	})
	if got := client.Status().Received - before; got > 240*2*60 {
		t.Errorf("received %d bytes for 240 changes of shard configurations from two publishers", got)
	}
	if _, ok := client.Get("view/7"); ok {
		t.Error("a shard configuration was sent")
	}
	// A new subscriber has the same state as one whose control processes receive a snapshot.
	tier.mu.Lock()
	snapshot := tier.log.Snapshot()
	tier.mu.Unlock()
	for _, server := range tier.servers {
		if s := server.Status(); s.Version != last || s.Digest != client.Status().Digest {
			t.Errorf("publisher has version %d with digest %016x, subscriber has digest %016x", s.Version, s.Digest, client.Status().Digest)
		}
		server.StateChanged(snapshot, nil)
	}
	late := tier.newClient(1)
	waitFor(t, "both subscribers are current and follow both publishers", allClients([]*testClient{client, late}, func(s subscriber.Status) bool { return s.Current && s.Version == last && len(s.Publishers) == 2 }))
	if a, b := client.Status(), late.Status(); a.Digest != b.Digest || a.Stats.Conflicts+b.Stats.Conflicts+a.Stats.DigestMismatches+b.Stats.DigestMismatches > 0 {
		t.Errorf("different digests, or conflicts:\n%+v\n%+v", a, b)
	}
	client.check(t)
	late.check(t)
}

// TestBurstIsPublishedInBatches guards against a write for each change and subscriber in a burst of changes, and against a delay of a change
// after a pause.
func TestBurstIsPublishedInBatches(t *testing.T) {
	tier := newTestTier(t, 1, 10)
	var all []*testClient
	for i := range 10 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "all are current", allClients(all, func(s subscriber.Status) bool { return s.Current && s.Version == 1 }))
	haveVersion := func(version uint64) func() bool {
		return allClients(all, func(s subscriber.Status) bool { return s.Version == version })
	}
	writesBefore, start := tier.servers[0].Status().Writes, time.Now()
	last := uint64(0)
	for i := range 200 {
		last = tier.publish(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: fmt.Append(nil, i)})
		time.Sleep(2 * time.Millisecond) // about 500 changes per second
	}
	waitFor(t, "all have the last change of the burst", haveVersion(last))
	elapsed := time.Since(start)
	// Per subscriber: one write for each interval of 100 ms, one at the beginning and one at the end, and the answers to its renewals.
	maxWrites := int64(len(all)) * (2 + int64(elapsed/(100*time.Millisecond)) + 2*(1+int64(elapsed/time.Second)))
	if n := tier.servers[0].Status().Writes - writesBefore; n > maxWrites {
		t.Errorf("%d writes of 200 changes to %d subscribers in %v, want at most %d", n, len(all), elapsed, maxWrites)
	}
	minLatency := waitTimeout
	for i := range 10 { // the machine may be busy, so the shortest of ten latencies counts
		time.Sleep(250 * time.Millisecond) // longer than the interval between publications
		start := time.Now()
		last = tier.publish(changefeed.Item{Key: "config/a", Value: fmt.Append(nil, "idle ", i)})
		waitFor(t, "all have the change", haveVersion(last))
		minLatency = min(minLatency, time.Since(start))
	}
	if minLatency > 60*time.Millisecond {
		t.Errorf("a change after a pause took at least %v, want at most 60 ms", minLatency)
	}
	for _, client := range all {
		client.check(t)
	}
}

// TestConfirmationWaitsForItsVersion guards against a subscriber that counts as current without the newest version. A version is confirmed
// before it is published; it consists of shard configurations only, so its published change is empty.
func TestConfirmationWaitsForItsVersion(t *testing.T) {
	tier := newTestTier(t, 1, 10)
	client, server := tier.newClient(0), tier.servers[0]
	waitFor(t, "the subscriber is current", func() bool { return client.Status().Current })
	tier.withoutLeader.Store(true)
	waitFor(t, "confirmations of an unpublished version do not reset the age", func() bool {
		server.VersionConfirmed(boottime.Now(), 2)
		return server.Status().Age > time.Second && client.Status().Age > time.Second
	})
	if s := client.Status(); s.Version != 1 {
		t.Fatalf("subscriber has status %+v, want version 1", s)
	}
	tier.publish(changefeed.Item{Key: "view/1", Value: []byte("v")})
	waitFor(t, "confirmations of the published version reset the age", func() bool {
		server.VersionConfirmed(boottime.Now(), 2)
		return server.Status().Age < time.Second/2 && client.Status().Version == 2 && client.Status().Age < time.Second/2
	})
}
