package publisher_test

import (
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

const bound = 20 * time.Second

// holder keeps what is asked until it is told to answer.
type holder struct {
	mu   sync.Mutex
	mute bool
	asks []func()
	seen map[string]int
	last atomic.Uint64
}

func (h *holder) Submit(op replication.Operation, _ time.Duration, done func(replication.Result)) {
	h.do(op.ID, func() {
		done(replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: replication.Record{Key: op.Key, Version: 7}})
	})
}

func (h *holder) Put(p shardmap.Put, _ time.Duration, done func(shardmap.PutResult)) {
	h.do(p.OperationID, func() { done(shardmap.PutResult{OperationID: p.OperationID, Version: h.last.Add(1)}) })
}

func (h *holder) do(op string, answer func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen == nil {
		h.seen = map[string]int{}
	}
	h.seen[op]++
	if h.mute {
		h.asks = append(h.asks, answer)
	} else {
		go answer()
	}
}

func (h *holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.asks)
}

// tier is control processes' publishers, which are told the same.
type tier struct {
	t       *testing.T
	log     *changefeed.Log
	all     []*publisher.Server
	holders []*holder
	wires   []*gossip.Transport
	addrs   []netip.AddrPort
	stop    chan struct{}
	ends    sync.WaitGroup
	stale   atomic.Bool
	mu      sync.Mutex
}

func newTier(t *testing.T, many, most int) *tier {
	r := &tier{t: t, log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), stop: make(chan struct{})}
	for i := range many {
		var w *gossip.Transport
		var addr netip.AddrPort
		for try := range 20 { // a port that is free for the one kind may be taken for the other
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
		h := &holder{}
		p.Start(h)
		r.all, r.holders, r.wires, r.addrs = append(r.all, p), append(r.holders, h), append(r.wires, w), append(r.addrs, addr)
	}
	r.change(changefeed.Item{Key: changefeed.FleetKey, Value: []byte("f")})
	r.ends.Add(1)
	go func() {
		defer r.ends.Done()
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(50 * time.Millisecond):
				now := boottime.Now()
				r.mu.Lock()
				version := r.log.Version()
				r.mu.Unlock()
				if !r.stale.Load() {
					for _, p := range r.all {
						p.VersionConfirmed(now, version)
					}
				}
			}
		}
	}()
	t.Cleanup(func() {
		close(r.stop)
		r.ends.Wait()
		for i := range r.all {
			r.end(i)
		}
	})
	return r
}

func (r *tier) end(i int) {
	_ = r.wires[i].Shutdown()
	r.all[i].Close()
}

func (r *tier) change(items ...changefeed.Item) uint64 {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, err := r.log.Append(items)
	if err != nil {
		r.t.Fatal(err)
	}
	for _, p := range r.all {
		p.StateChanged(nil, []*changefeed.Change{&c})
	}
	return c.Version
}

// follower notes what it is told, and what it must not be.
type follower struct {
	*subscriber.Client
	mu   sync.Mutex
	last uint64
	bad  string
	went int // steps
}

func (r *tier) follower(i int) *follower {
	f := &follower{}
	applied := func(version uint64, items []changefeed.Item, whole bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.went++
		if version <= f.last || !whole && version != f.last+1 {
			f.bad = fmt.Sprintf("version %d (whole %v) after %d", version, whole, f.last)
		}
		f.last = version
	}
	f.Client = subscriber.Open(subscriber.Options{Fleet: "lab", Name: fmt.Sprint("b", i), ID: fmt.Sprint("id", i), Incarnation: 1, Zone: "z", Site: "s", Seeds: r.addrs,
		Seed: uint64(i), Now: boottime.Now, Log: zap.NewNop(), OnUpdate: applied})
	r.t.Cleanup(f.Close)
	return f
}

func (f *follower) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bad != "" {
		t.Error(f.bad)
	}
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

func every(all []*follower, is func(subscriber.Status) bool) func() bool {
	return func() bool {
		for _, f := range all {
			if !is(f.Status()) {
				return false
			}
		}
		return true
	}
}

// TestAllHearEachVersion has followers hear changes from two control processes, one of which ends, while one follower reads nothing.
// Guards against a version that is left out, told twice or out of order, and against a slow one that others wait for.
func TestAllHearEachVersion(t *testing.T) {
	r := newTier(t, 2, 100)
	var all []*follower
	for i := range 20 {
		all = append(all, r.follower(i))
	}
	until(t, "all are current, by two", every(all, func(s subscriber.Status) bool {
		return s.Current && len(s.Publishers) == 2 && s.Version == 1 && s.Fleet == "f"
	}))

	slow, err := net.Dial("tcp", r.addrs[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	_ = slow.(*net.TCPConn).SetReadBuffer(4096)
	words := []byte{framing.StreamMark}
	for _, body := range [][]byte{framing.Encode(framing.Greeting{Fleet: "lab"}), changefeed.Encode(&changefeed.Message{Hello: &changefeed.Hello{ProtocolVersion: changefeed.ProtocolVersion, ID: "slow", Incarnation: 1}})} {
		words = append(append(words, framing.Header(body)...), body...)
	}
	_, _ = slow.Write(words)
	until(t, "the slow one is there", func() bool { return r.all[0].Status().Subscribers.Connected == 21 })

	value := make([]byte, 8<<10)
	for i := range 200 { // 1.6 MB: more than the window, and than the ring of the source
		value[0] = byte(i)
		r.change(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: append([]byte(nil), value...)})
	}
	until(t, "all have the newest", every(all, func(s subscriber.Status) bool { return s.Version == 201 && s.Current }))
	until(t, "all but the slow one have it there, which is let go", func() bool {
		s := r.all[0].Status()
		if s.Subscribers.Connected == 21 && s.Subscribers.LowestVersion > 100 {
			t.Fatalf("the slow one has acknowledged %d", s.Subscribers.LowestVersion)
		}
		return s.Subscribers.Connected == 20 && s.Subscribers.Current == 20 && s.Stats.LeaseExpiries == 1
	})
	r.end(0)
	until(t, "all have left it", every(all, func(s subscriber.Status) bool { return len(s.Publishers) == 1 && s.Current }))
	r.change(changefeed.Item{Key: "config/last", Value: []byte("x")})
	until(t, "all have the last", every(all, func(s subscriber.Status) bool { return s.Version == 202 && s.Digest == r.log.Digest() }))
	for _, f := range all {
		f.check(t)
		if s := f.Status(); s.Stats.Snapshots > 1 || s.Stats.DigestMismatches+s.Stats.Conflicts+s.Stats.InvalidMessages > 0 {
			t.Errorf("%+v", s.Stats)
		}
		if v, _ := f.Get("config/last"); string(v) != "x" {
			t.Errorf("config/last is %q", v)
		}
	}
	r.stale.Store(true) // nobody knows any more that nothing newer is agreed
	until(t, "none is current", every(all, func(s subscriber.Status) bool { return !s.Current }))
}

// TestAFollowersOperations asks for more than is taken, and ends a control process that has not answered. Guards against followers that
// fill a control process, an answer that goes to another one, and an operation that is lost with a connection.
func TestAFollowersOperations(t *testing.T) {
	r := newTier(t, 2, 100)
	f, other := r.follower(1), r.follower(2)
	until(t, "both follow two", every([]*follower{f, other}, func(s subscriber.Status) bool { return len(s.Publishers) == 2 }))
	ask := func(f *follower, id string, within time.Duration) <-chan replication.Result {
		out := make(chan replication.Result, 2)
		f.Submit(replication.Operation{ID: id, Key: id}, within, func(r replication.Result) { out <- r })
		return out
	}
	for i, f := range []*follower{f, other} {
		if got := <-ask(f, fmt.Sprint("a", i), bound); got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("a", i) || got.Record.Version != 7 {
			t.Errorf("%+v", got)
		}
	}
	for _, h := range r.holders {
		h.mu.Lock()
		h.mute = true
		h.mu.Unlock()
	}
	const most = 256
	var out []<-chan replication.Result
	for i := range most + 1 {
		out = append(out, ask(f, fmt.Sprint("b", i), bound))
	}
	if got := <-out[most]; got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("one too many: %+v", got)
	}
	asked := 0 // which of the two
	if r.holders[1].count() == most {
		asked = 1
	}
	until(t, "all are under way", func() bool { return r.holders[asked].count() == most })
	if got := <-ask(other, "c", 50*time.Millisecond); got.Outcome != replication.OutcomeUnknown {
		t.Errorf("no answer in time: %+v", got)
	}
	r.holders[1-asked].mu.Lock()
	r.holders[1-asked].mute = false
	r.holders[1-asked].mu.Unlock()
	r.end(asked)
	for i, o := range out[:most] {
		select {
		case got := <-o:
			if got.Outcome != replication.OutcomeCommitted || got.OperationID != fmt.Sprint("b", i) {
				t.Fatalf("asked again elsewhere: %+v", got)
			}
		case <-time.After(bound):
			t.Fatalf("b%d was not asked again", i)
		}
	}
	done := make(chan changefeed.PutResponse, 1)
	f.Put(changefeed.PutRequest{OperationID: "p", Key: "config/a", Unconditional: true}, bound, func(d changefeed.PutResponse) { done <- d })
	if d := <-done; d.Version == 0 || d.RejectReason != "" {
		t.Errorf("%+v", d)
	}
	r.end(1 - asked)
	until(t, "nobody is left", func() bool { return len(f.Status().Publishers) == 0 })
	if got := <-ask(f, "d", 50*time.Millisecond); got.Outcome != replication.OutcomeRejected || got.Reason != replication.ReasonBusy {
		t.Errorf("nobody was asked: %+v", got)
	}
}

// TestWhoIsNotTaken has followers that are too many, of another fleet and not understood. Guards against a control process that holds what it
// does not know, and against one that says nothing to who has to go elsewhere.
func TestWhoIsNotTaken(t *testing.T) {
	r := newTier(t, 1, 3)
	var all []*follower
	for i := range 3 {
		all = append(all, r.follower(i))
	}
	until(t, "three follow", every(all, func(s subscriber.Status) bool { return s.Current }))
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
		c, err := net.Dial("tcp", r.addrs[0].String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		words := []byte{framing.StreamMark}
		for _, body := range bodies {
			words = append(append(words, framing.Header(body)...), body...)
		}
		_, _ = c.Write(words)
		_ = c.SetReadDeadline(time.Now().Add(bound))
		text, err := io.ReadAll(c)
		if ne, is := err.(net.Error); is && ne.Timeout() {
			t.Errorf("%s: it is held", name)
		}
		var told changefeed.Message
		if len(text) > framing.HeaderSize {
			told, _ = changefeed.Decode(text[framing.HeaderSize:])
		}
		if e := told.Reject; (e != nil) != (name == "one too many") || e != nil && e.RetryAfter <= 0 {
			t.Errorf("%s: it is told %q", name, text)
		}
	}
	if s := r.all[0].Status(); s.Subscribers.Connected != 3 {
		t.Errorf("%+v", s.Subscribers)
	}
	for _, f := range all {
		f.check(t)
	}
}

// TestViewsAreNoMatterOfFollowers changes many slots' views, as the loss of a control process does. Guards against bytes that grow with
// what only members need, and against a follower that is not current as its version lags behind what was agreed.
func TestViewsAreNoMatterOfFollowers(t *testing.T) {
	r := newTier(t, 2, 10)
	f := r.follower(0)
	until(t, "it follows two", func() bool { s := f.Status(); return s.Current && len(s.Publishers) == 2 && s.Version == 1 })
	value := make([]byte, 600)
	before := f.Status().Received
	for i := range 240 {
		r.change(changefeed.Item{Key: fmt.Sprint("view/", i), Value: value})
	}
	last := r.change(changefeed.Item{Key: "config/last", Value: []byte("x")})
	until(t, "it has the newest by both", func() bool {
		return f.Status().Version == last && r.all[0].Status().Subscribers.LowestVersion == last && r.all[1].Status().Subscribers.LowestVersion == last
	})
	if got := f.Status().Received - before; got > 240*2*60 {
		t.Errorf("%d bytes for 240 changes of views, over two relays", got)
	}
	if _, is := f.Get("view/7"); is {
		t.Error("a view was sent")
	}
	// One that begins now, and one whose control process was told all at once, have the same.
	r.mu.Lock()
	whole := r.log.Snapshot()
	r.mu.Unlock()
	for _, p := range r.all {
		if s := p.Status(); s.Version != last || s.Digest != f.Status().Digest {
			t.Errorf("version %d with %016x; the follower has %016x", s.Version, s.Digest, f.Status().Digest)
		}
		p.StateChanged(whole, nil)
	}
	late := r.follower(1)
	until(t, "both are current", every([]*follower{f, late}, func(s subscriber.Status) bool { return s.Current && s.Version == last && len(s.Publishers) == 2 }))
	if a, b := f.Status(), late.Status(); a.Digest != b.Digest || a.Stats.Conflicts+b.Stats.Conflicts+a.Stats.DigestMismatches+b.Stats.DigestMismatches > 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
	f.check(t)
	late.check(t)
}

// TestABurstIsHandedOnInBatches tells changes one by one, faster than they are handed on. Guards against a write, and so a wake on both
// sides, for each change and follower; and against a change that waits although nothing went out just before.
func TestABurstIsHandedOnInBatches(t *testing.T) {
	r := newTier(t, 1, 10)
	var all []*follower
	for i := range 10 {
		all = append(all, r.follower(i))
	}
	until(t, "all are current", every(all, func(s subscriber.Status) bool { return s.Current && s.Version == 1 }))
	has := func(version uint64) func() bool {
		return every(all, func(s subscriber.Status) bool { return s.Version == version })
	}
	before, began := r.all[0].Status().Writes, time.Now()
	last := uint64(0)
	for i := range 200 {
		last = r.change(changefeed.Item{Key: fmt.Sprint("config/", i%7), Value: fmt.Append(nil, i)})
		time.Sleep(2 * time.Millisecond) // the source's pace
	}
	until(t, "all have the burst", has(last))
	took := time.Since(began)
	// For each follower a write for each tenth of a second, one at each end, and the answers to its renewals.
	most := int64(len(all)) * (2 + int64(took/(100*time.Millisecond)) + 2*(1+int64(took/time.Second)))
	if n := r.all[0].Status().Writes - before; n > most {
		t.Errorf("%d writes of 200 changes to %d followers in %v; %d are allowed", n, len(all), took, most)
	}
	soonest := bound
	for i := range 10 { // the machine may be busy: one of ten tells
		time.Sleep(250 * time.Millisecond) // idle for longer than a batch is gathered
		began := time.Now()
		last = r.change(changefeed.Item{Key: "config/a", Value: fmt.Append(nil, "idle ", i)})
		until(t, "all have it", has(last))
		soonest = min(soonest, time.Since(began))
	}
	if soonest > 60*time.Millisecond {
		t.Errorf("a change after a pause took %v at the least", soonest)
	}
	for _, f := range all {
		f.check(t)
	}
}

// TestFreshnessWaitsForItsVersion tells of a time for a version that is not here yet, which then turns out to be one of views alone.
// Guards against followers that count as current without what was agreed.
func TestFreshnessWaitsForItsVersion(t *testing.T) {
	r := newTier(t, 1, 10)
	f, p := r.follower(0), r.all[0]
	until(t, "it is current", func() bool { return f.Status().Current })
	r.stale.Store(true)
	until(t, "a version that is not here makes nothing younger", func() bool {
		p.VersionConfirmed(boottime.Now(), 2)
		return p.Status().Age > time.Second && f.Status().Age > time.Second
	})
	if s := f.Status(); s.Version != 1 {
		t.Fatalf("%+v", s)
	}
	r.change(changefeed.Item{Key: "view/1", Value: []byte("v")})
	until(t, "the version makes it young", func() bool {
		p.VersionConfirmed(boottime.Now(), 2)
		return p.Status().Age < time.Second/2 && f.Status().Version == 2 && f.Status().Age < time.Second/2
	})
}
