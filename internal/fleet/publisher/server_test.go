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

// fakeBackend answers operations and puts, or keeps them while it is paused.
type fakeBackend struct {
	mu          sync.Mutex
	isPaused    bool
	paused      []func()
	seen        map[string]int
	lastVersion atomic.Uint64
}

func (h *fakeBackend) Submit(op replication.Operation, _ time.Duration, done func(replication.Result)) {
	h.execute(op.ID, func() {
		done(replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: replication.Record{Key: op.Key, Version: 7}})
	})
}

func (h *fakeBackend) Put(p shardmap.Put, _ time.Duration, done func(shardmap.PutResult)) {
	h.execute(p.OperationID, func() { done(shardmap.PutResult{OperationID: p.OperationID, Version: h.lastVersion.Add(1)}) })
}

func (h *fakeBackend) execute(op string, answer func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = map[string]int{}
	}
	h.seen[op]++
	if h.isPaused {
		h.paused = append(h.paused, answer)
	} else {
		go answer()
	}
}

func (h *fakeBackend) pausedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.paused)
}

// testTier is the publishers of control processes that receive the same agreed state.
type testTier struct {
	t             *testing.T
	log           *changefeed.Log
	servers       []*publisher.Server
	backends      []*fakeBackend
	transports    []*gossip.Transport
	addresses     []netip.AddrPort
	stop          chan struct{}
	goroutines    sync.WaitGroup
	withoutLeader atomic.Bool
	mu            sync.Mutex
}

func newTestTier(t *testing.T, many, most int) *testTier {
	tier := &testTier{t: t, log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), stop: make(chan struct{})}
	for i := range many {
		var w *gossip.Transport
		var addr netip.AddrPort
		for try := range 20 { // a port that is free for TCP may be in use for UDP
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr = ln.Addr().(*net.TCPAddr).AddrPort()
			_ = ln.Close()
			if w, err = gossip.Listen(addr, addr, most+publisher.ExtraStreams); err == nil {
				break
			} else if try == 19 {
				t.Fatal(err)
			}
		}
		p := publisher.New(publisher.Options{ID: fmt.Sprint("c", i), Fleet: "lab", MaxSubscribers: most, Seed: uint64(i), Streams: w, Now: boottime.Now, Log: zap.NewNop()})
		h := &fakeBackend{}
		p.Start(h)
		tier.servers = append(tier.servers, p)
		tier.backends = append(tier.backends, h)
		tier.transports = append(tier.transports, w)
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
					for _, p := range tier.servers {
						p.VersionConfirmed(now, version)
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

func (tier *testTier) closeServer(i int) {
	_ = tier.transports[i].Shutdown()
	tier.servers[i].Close()
}

func (tier *testTier) publish(items ...changefeed.Item) uint64 {
	tier.t.Helper()
	tier.mu.Lock()
	defer tier.mu.Unlock()
	c, err := tier.log.Append(items)
	if err != nil {
		tier.t.Fatal(err)
	}
	for _, p := range tier.servers {
		p.StateChanged(nil, []*changefeed.Change{&c})
	}
	return c.Version
}

// testClient is a client that verifies the order of its updates.
type testClient struct {
	*subscriber.Client
	mu          sync.Mutex
	lastVersion uint64
	violation   string
	updates     int // steps
}

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

func (f *testClient) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.violation != "" {
		t.Error(f.violation)
	}
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

func allClients(all []*testClient, is func(subscriber.Status) bool) func() bool {
	return func() bool {
		for _, f := range all {
			if !is(f.Status()) {
				return false
			}
		}
		return true
	}
}

// TestEverySubscriberReceivesEachVersion sends changes from two control processes, one of which ends, while one subscriber reads nothing:
// each version arrives once and in order, and nobody waits for the slow subscriber.
func TestEverySubscriberReceivesEachVersion(t *testing.T) {
	tier := newTestTier(t, 2, 100)
	var all []*testClient
	for i := range 20 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "all are current, by two", allClients(all, func(s subscriber.Status) bool {
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
	waitFor(t, "the slow one is there", func() bool { return tier.servers[0].Status().Subscribers.Connected == 21 })

	value := make([]byte, 8<<10)
	for i := range 200 { // 1.6 MB: more than the window, and than the source's log
		value[0] = byte(i)
		tier.publish(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: append([]byte(nil), value...)})
	}
	waitFor(t, "all have the newest", allClients(all, func(s subscriber.Status) bool { return s.Version == 201 && s.Current }))
	waitFor(t, "all but the slow one have it there, which is let go", func() bool {
		s := tier.servers[0].Status()
		if s.Subscribers.Connected == 21 && s.Subscribers.LowestVersion > 100 {
			t.Fatalf("the slow one has acknowledged %d", s.Subscribers.LowestVersion)
		}
		return s.Subscribers.Connected == 20 && s.Subscribers.Current == 20 && s.Stats.LeaseExpiries == 1
	})
	tier.closeServer(0)
	waitFor(t, "all have left it", allClients(all, func(s subscriber.Status) bool { return len(s.Publishers) == 1 && s.Current }))
	tier.publish(changefeed.Item{Key: "config/last", Value: []byte("x")})
	waitFor(t, "all have the last", allClients(all, func(s subscriber.Status) bool { return s.Version == 202 && s.Digest == tier.log.Digest() }))
	for _, client := range all {
		client.check(t)
		if s := client.Status(); s.Stats.Snapshots > 1 || s.Stats.DigestMismatches+s.Stats.Conflicts+s.Stats.InvalidMessages > 0 {
			t.Errorf("%+v", s.Stats)
		}
		if v, _ := client.Get("config/last"); string(v) != "x" {
			t.Errorf("config/last is %q", v)
		}
	}
	tier.withoutLeader.Store(true) // there are no confirmations any more
	waitFor(t, "none is current", allClients(all, func(s subscriber.Status) bool { return !s.Current }))
}

// TestOperationsOfSubscribers submits more operations than are accepted, and ends a control process that has not answered: a subscriber
// can't exhaust a control process, results go to their submitters, and no operation is lost with a connection.
func TestOperationsOfSubscribers(t *testing.T) {
	tier := newTestTier(t, 2, 100)
	client, other := tier.newClient(1), tier.newClient(2)
	waitFor(t, "both follow two", allClients([]*testClient{client, other}, func(s subscriber.Status) bool { return len(s.Publishers) == 2 }))
	ask := func(client *testClient, id string, within time.Duration) <-chan replication.Result {
		out := make(chan replication.Result, 2)
		client.Submit(replication.Operation{ID: id, Key: id}, within, func(tier replication.Result) { out <- tier })
		return out
	}
	for i, client := range []*testClient{client, other} {
		if got := <-ask(client, fmt.Sprint("a", i), waitTimeout); got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("a", i) || got.Record.Version != 7 {
			t.Errorf("%+v", got)
		}
	}
	for _, h := range tier.backends {
		h.mu.Lock()
		h.isPaused = true
		h.mu.Unlock()
	}
	const most = 256
	var out []<-chan replication.Result
	for i := range most + 1 {
		out = append(out, ask(client, fmt.Sprint("b", i), waitTimeout))
	}
	if got := <-out[most]; got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("one too many: %+v", got)
	}
	asked := 0 // which of the two
	if tier.backends[1].pausedCount() == most {
		asked = 1
	}
	waitFor(t, "all are pending", func() bool { return tier.backends[asked].pausedCount() == most })
	if got := <-ask(other, "c", 50*time.Millisecond); got.Outcome != replication.OutcomeUnknown {
		t.Errorf("no answer in time: %+v", got)
	}
	tier.backends[1-asked].mu.Lock()
	tier.backends[1-asked].isPaused = false
	tier.backends[1-asked].mu.Unlock()
	tier.closeServer(asked)
	for i, o := range out[:most] {
		select {
		case got := <-o:
			if got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("b", i) {
				t.Fatalf("submitted again to the other one: %+v", got)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("b%d was not submitted again", i)
		}
	}
	done := make(chan changefeed.PutResponse, 1)
	client.Put(changefeed.PutRequest{OperationID: "p", Key: "config/a", Unconditional: true}, waitTimeout, func(d changefeed.PutResponse) { done <- d })
	if d := <-done; d.Version == 0 || d.RejectReason != "" {
		t.Errorf("%+v", d)
	}
	tier.closeServer(1 - asked)
	waitFor(t, "no publisher is left", func() bool { return len(client.Status().Publishers) == 0 })
	if got := <-ask(client, "d", 50*time.Millisecond); got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("it was not submitted: %+v", got)
	}
}

// TestRejectedConnections connects subscribers that are too many, of another fleet and malformed: none stays open, and one that has to follow
// another publisher is answer when to retry.
func TestRejectedConnections(t *testing.T) {
	tier := newTestTier(t, 1, 3)
	var all []*testClient
	for i := range 3 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "three follow", allClients(all, func(s subscriber.Status) bool { return s.Current }))
	hello := func(id string) []byte {
		return changefeed.Encode(&changefeed.Message{Hello: &changefeed.Hello{ProtocolVersion: changefeed.ProtocolVersion, ID: id, Incarnation: 1}})
	}
	lab := framing.Encode(framing.Greeting{Fleet: "lab"})
	for name, bodies := range map[string][][]byte{
		"one too many":     {lab, hello("x")},
		"of another fleet": {framing.Encode(framing.Greeting{Fleet: "other"}), hello("id0")},
		"no hello":         {lab, changefeed.Encode(&changefeed.Message{RenewRequest: &changefeed.RenewRequest{Sequence: 1}})},
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
		if e := answer.Reject; (e != nil) != (name == "one too many") || e != nil && e.RetryAfter <= 0 {
			t.Errorf("%s: it is answered %q", name, text)
		}
	}
	if s := tier.servers[0].Status(); s.Subscribers.Connected != 3 {
		t.Errorf("%+v", s.Subscribers)
	}
	for _, client := range all {
		client.check(t)
	}
}

// TestShardConfigurationsAreNotSent changes many shard configurations, as the loss of a control process does: the bytes sent do not grow
// with them, and subscribers stay current at the agreed version.
func TestShardConfigurationsAreNotSent(t *testing.T) {
	tier := newTestTier(t, 2, 10)
	client := tier.newClient(0)
	waitFor(t, "it follows two", func() bool { s := client.Status(); return s.Current && len(s.Publishers) == 2 && s.Version == 1 })
	value := make([]byte, 600)
	before := client.Status().Received
	for i := range 240 {
		tier.publish(changefeed.Item{Key: fmt.Sprint("view/", i), Value: value})
	}
	last := tier.publish(changefeed.Item{Key: "config/last", Value: []byte("x")})
	waitFor(t, "it has the newest by both", func() bool {
		return client.Status().Version == last && tier.servers[0].Status().Subscribers.LowestVersion == last && tier.servers[1].Status().Subscribers.LowestVersion == last
	})
	if got := client.Status().Received - before; got > 240*2*60 {
		t.Errorf("%d bytes for 240 changes of shard configurations, over two publishers", got)
	}
	if _, is := client.Get("view/7"); is {
		t.Error("a shard configuration was sent")
	}
	// A new subscriber, and one whose control process received a snapshot, have the same state.
	tier.mu.Lock()
	snapshot := tier.log.Snapshot()
	tier.mu.Unlock()
	for _, p := range tier.servers {
		if s := p.Status(); s.Version != last || s.Digest != client.Status().Digest {
			t.Errorf("version %d with %016x; the subscriber has %016x", s.Version, s.Digest, client.Status().Digest)
		}
		p.StateChanged(snapshot, nil)
	}
	late := tier.newClient(1)
	waitFor(t, "both are current", allClients([]*testClient{client, late}, func(s subscriber.Status) bool { return s.Current && s.Version == last && len(s.Publishers) == 2 }))
	if a, b := client.Status(), late.Status(); a.Digest != b.Digest || a.Stats.Conflicts+b.Stats.Conflicts+a.Stats.DigestMismatches+b.Stats.DigestMismatches > 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
	client.check(t)
	late.check(t)
}

// TestBurstIsPublishedInBatches makes changes faster than they are published: they go out in batches, not in a write for each change and
// subscriber, and a change after a pause goes out at once.
func TestBurstIsPublishedInBatches(t *testing.T) {
	tier := newTestTier(t, 1, 10)
	var all []*testClient
	for i := range 10 {
		all = append(all, tier.newClient(i))
	}
	waitFor(t, "all are current", allClients(all, func(s subscriber.Status) bool { return s.Current && s.Version == 1 }))
	has := func(version uint64) func() bool {
		return allClients(all, func(s subscriber.Status) bool { return s.Version == version })
	}
	before, began := tier.servers[0].Status().Writes, time.Now()
	last := uint64(0)
	for i := range 200 {
		last = tier.publish(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: fmt.Append(nil, i)})
		time.Sleep(2 * time.Millisecond) // the source's pace
	}
	waitFor(t, "all have the burst", has(last))
	took := time.Since(began)
	// For each subscriber a write for each tenth of a second, one at each end, and the answers to its renewals.
	most := int64(len(all)) * (2 + int64(took/(100*time.Millisecond)) + 2*(1+int64(took/time.Second)))
	if n := tier.servers[0].Status().Writes - before; n > most {
		t.Errorf("%d writes of 200 changes to %d subscribers in %v; %d are allowed", n, len(all), took, most)
	}
	soonest := waitTimeout
	for i := range 10 { // the machine may be busy: the fastest of ten counts
		time.Sleep(250 * time.Millisecond) // idle for longer than a batch is gathered
		began := time.Now()
		last = tier.publish(changefeed.Item{Key: "config/a", Value: fmt.Append(nil, "idle ", i)})
		waitFor(t, "all have it", has(last))
		soonest = min(soonest, time.Since(began))
	}
	if soonest > 60*time.Millisecond {
		t.Errorf("a change after a pause took %v at the least", soonest)
	}
	for _, client := range all {
		client.check(t)
	}
}

// TestConfirmationWaitsForItsVersion confirms a version that is not published yet, and which then consists of shard configurations alone:
// subscribers do not count as current before they have it.
func TestConfirmationWaitsForItsVersion(t *testing.T) {
	tier := newTestTier(t, 1, 10)
	client, p := tier.newClient(0), tier.servers[0]
	waitFor(t, "it is current", func() bool { return client.Status().Current })
	tier.withoutLeader.Store(true)
	waitFor(t, "a version that is not here makes nothing younger", func() bool {
		p.VersionConfirmed(boottime.Now(), 2)
		return p.Status().Age > time.Second && client.Status().Age > time.Second
	})
	if s := client.Status(); s.Version != 1 {
		t.Fatalf("%+v", s)
	}
	tier.publish(changefeed.Item{Key: "view/1", Value: []byte("v")})
	waitFor(t, "the version makes it young", func() bool {
		p.VersionConfirmed(boottime.Now(), 2)
		return p.Status().Age < time.Second/2 && client.Status().Version == 2 && client.Status().Age < time.Second/2
	})
}
