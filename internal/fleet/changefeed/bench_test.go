package changefeed

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// newFullLog returns a log with a state of a realistic size: 17 members, 256 shard configurations and 500 KB of configuration.
func newFullLog(b testing.TB) *Log {
	l := NewLog(LogConfig{MaxChanges: 1024, MaxBytes: 1 << 20})
	items := []Item{{Key: FleetKey, Value: []byte("0123456789abcdef")}, {Key: "epoch", Value: []byte("1")}}
	for i := range 17 {
		items = append(items, memberItem(b, shardmap.Member{ID: fmt.Sprintf("%016x", i), Addr: fmt.Sprintf("10.0.0.%d:7400", i), Machine: fmt.Sprintf("machine%d", i),
			Zone: fmt.Sprintf("zone%d", i%11), Site: fmt.Sprintf("region%d", i%11%3)}))
	}
	for i := range 256 {
		items = append(items, Item{Key: fmt.Sprintf("view/%d", i), Value: fmt.Appendf(nil, `{"n":%d,"f":["%016x","%016x","%016x"]}`, i, i%17, (i+1)%17, (i+2)%17)})
	}
	for i := range 100 {
		items = append(items, Item{Key: fmt.Sprintf("%sname%d", ConfigPrefix, i), Value: make([]byte, 5000)})
	}
	if _, err := l.Append(items); err != nil {
		b.Fatal(err)
	}
	return l
}

// BenchmarkChangeDelivery measures a change of 100 bytes that a publisher sends to all its subscribers; the message is encoded once.
// Acknowledgements are not measured.
func BenchmarkChangeDelivery(b *testing.B) {
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("subscribers=%d", n), func(b *testing.B) {
			log := newFullLog(b)
			publisher := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
			for i := range n {
				if err := publisher.Connected(0, uint64(i+1), Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("b%d", i), Version: log.Version(), Digest: log.Digest()}); err != nil {
					b.Fatal(err)
				}
			}
			publisher.Ready()
			value := make([]byte, 100)
			b.ReportAllocs()
			sent, at := 0, uint64(0)
			for b.Loop() {
				if _, err := log.Append([]Item{{Key: ConfigPrefix + "name1", Value: value}}); err != nil {
					b.Fatal(err)
				}
				publisher.LogChanged()
				out := publisher.Ready()
				for _, s := range out.Sends {
					sent += len(s.Message.Encoded())
				}
				b.StopTimer() // acknowledged, so that no window fills
				at++
				for i := range n {
					_ = publisher.Step(time.Duration(at)*time.Millisecond, uint64(i+1), Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}})
				}
				publisher.Ready()
				b.StartTimer()
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "B/subscriber")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/subscriber")
		})
	}
}

// BenchmarkPublisherSecond measures a second of a publisher without changes: ten ticks, and a renewal of each subscriber.
func BenchmarkPublisherSecond(b *testing.B) {
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("subscribers=%d", n), func(b *testing.B) {
			log := newFullLog(b)
			publisher := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
			for i := range n {
				if err := publisher.Connected(0, uint64(i+1), Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("b%d", i), Version: log.Version(), Digest: log.Digest()}); err != nil {
					b.Fatal(err)
				}
			}
			publisher.Ready()
			b.ReportAllocs()
			now, sent, number := time.Duration(0), 0, uint64(0)
			for b.Loop() {
				number++
				for tick := range 10 {
					now += 100 * time.Millisecond
					publisher.Tick(now)
					publisher.ConfirmVersion(now, log.Version())
					for i := tick; i < n; i += 10 {
						_ = publisher.Step(now, uint64(i+1), Message{RenewRequest: &RenewRequest{Sequence: number, LastResponse: number - 1, Version: log.Version(), Digest: log.Digest()}})
					}
					for _, s := range publisher.Ready().Sends {
						sent += len(s.Message.Encoded())
					}
				}
			}
			if len(publisher.sessions) != n {
				b.Fatalf("%d subscribers", len(publisher.sessions))
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "B/subscriber")
		})
	}
}

// BenchmarkSubscriberSecond measures a second of a subscriber: ten ticks, two renewals with their responses, and a quarter of a change from
// each of two publishers (21,000 changes a day are one in 4.1 s). Messages are encoded and decoded as on the wire.
func BenchmarkSubscriberSecond(b *testing.B) {
	for _, publishers := range []int{3, 17, 100} {
		b.Run(fmt.Sprintf("publishers=%d", publishers), func(b *testing.B) {
			log := NewLog(LogConfig{MaxChanges: 1024, MaxBytes: 1 << 20})
			items := []Item{{Key: FleetKey, Value: []byte("f")}}
			var addrs []string
			for i := range publishers {
				addrs = append(addrs, fmt.Sprintf("r%d", i))
				items = append(items, memberItem(b, shardmap.Member{ID: addrs[i], Addr: addrs[i], Zone: fmt.Sprintf("z%d", i%11), Site: fmt.Sprintf("s%d", i%11%3)}))
			}
			_, _ = log.Append(items)
			f := NewSubscriber(SubscriberConfig{ID: "b0", Site: "s0", Seeds: addrs}, 0)
			now, bytes, n := time.Duration(0), 0, 0
			hear := func(addr string, m *Message) {
				text := Encode(m)
				bytes += len(text)
				got, err := Decode(text)
				if err != nil {
					b.Fatal(err)
				}
				if err := f.Step(addr, got); err != nil {
					b.Fatal(err)
				}
			}
			do := func() {
				for again := true; again; {
					out := f.Ready()
					again = len(out.DialAddrs)+len(out.Sends) > 0
					for _, a := range out.DialAddrs {
						f.Connected(a)
						hear(a, &Message{Snapshot: log.Snapshot()})
					}
					for _, s := range out.Sends {
						text := Encode(&s.Message)
						bytes += len(text)
						if r := s.Message.RenewRequest; r != nil {
							hear(s.Addr, &Message{RenewResponse: &RenewResponse{Sequence: r.Sequence, Version: log.Version(), Digest: log.Digest(), SentVersion: log.Version(), Age: 50 * time.Millisecond, AgeKnown: true}})
						}
					}
				}
			}
			second := func() {
				for range 10 {
					now += 100 * time.Millisecond
					f.Tick(now)
					do()
				}
				if n++; n%4 == 0 {
					c, err := log.Append([]Item{{Key: ConfigPrefix + "name", Value: fmt.Appendf(nil, "%0100d", n)}})
					if err != nil {
						b.Fatal(err)
					}
					for _, a := range f.Publishers() {
						hear(a, &Message{Change: &c})
					}
				}
			}
			for range 10 {
				second()
			}
			if len(f.Publishers()) != 2 || !f.IsCurrent(now) {
				b.Fatalf("it follows %v", f.Publishers())
			}
			bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
		})
	}
}

// BenchmarkSnapshot measures building and encoding a snapshot, which happens once for all subscribers, and decoding and installing it,
// which each subscriber does.
func BenchmarkSnapshot(b *testing.B) {
	log := newFullLog(b)
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			log.latestSnapshot = nil
			b.SetBytes(int64(len(log.sharedSnapshot().Encoded())))
		}
	})
	text := log.sharedSnapshot().Encoded()
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(text)))
		for b.Loop() {
			m, err := Decode(text)
			if err != nil {
				b.Fatal(err)
			}
			if err := NewState().Install(*m.Snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDigest measures the digest: of a change of 100 bytes, and of a complete state.
func BenchmarkDigest(b *testing.B) {
	log := newFullLog(b)
	b.Run("change", func(b *testing.B) {
		items := []Item{{Key: ConfigPrefix + "name", Value: make([]byte, 100)}}
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := log.state.evaluateItems(items); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("complete", func(b *testing.B) {
		items := log.state.Items("")
		b.SetBytes(int64(log.state.Bytes()))
		for b.Loop() {
			if _, _, err := NewState().evaluateItems(items); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the memory that a publisher holds for each subscriber, and that a subscriber holds for a complete state.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	log := newFullLog(b)
	text := log.sharedSnapshot().Encoded()
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("publisher/subscribers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				publisher := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
				for i := range n {
					h := Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("%032d", i), Name: fmt.Sprintf("balancer%d", i), Machine: fmt.Sprintf("machine%d", i), Zone: "zone", Site: "region",
						Version: log.Version(), Digest: log.Digest()}
					if err := publisher.Connected(0, uint64(i+1), h); err != nil {
						b.Fatal(err)
					}
				}
				publisher.Ready()
				b.ReportMetric((heap()-before)/float64(n), "B/subscriber")
				runtime.KeepAlive(publisher)
			}
		})
	}
	b.Run("subscriber", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			f := NewSubscriber(SubscriberConfig{ID: "b0", Site: "region0", Seeds: []string{"r0"}}, 0)
			f.Tick(0)
			f.Connected("r0")
			m, err := Decode(text)
			if err != nil {
				b.Fatal(err)
			}
			if err := f.Step("r0", m); err != nil {
				b.Fatal(err)
			}
			f.Ready()
			b.ReportMetric(heap()-before, "B")
			b.ReportMetric(float64(f.State().Bytes()), "B/state")
			runtime.KeepAlive(f)
		}
	})
}
