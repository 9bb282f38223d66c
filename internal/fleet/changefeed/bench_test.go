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

// BenchmarkChangeDelivery measures the delivery of a change of 100 bytes from a publisher to all its subscribers; the message is encoded
// once. Acknowledgements are not measured.
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
			sent, ticks := 0, uint64(0)
			for b.Loop() {
				if _, err := log.Append([]Item{{Key: ConfigPrefix + "name1", Value: value}}); err != nil {
					b.Fatal(err)
				}
				publisher.LogChanged()
				out := publisher.Ready()
				for _, s := range out.Sends {
					sent += len(s.Message.Encoded())
				}
				b.StopTimer() // all subscribers acknowledge the change, so that no window fills
				ticks++
				for i := range n {
					_ = publisher.Step(time.Duration(ticks)*time.Millisecond, uint64(i+1), Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}})
				}
				publisher.Ready()
				b.StartTimer()
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "B/subscriber")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/subscriber")
		})
	}
}

// BenchmarkPublisherSecond measures one second of a publisher without changes: ten ticks, and one renewal of each subscriber.
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
			now, sent, sequence := time.Duration(0), 0, uint64(0)
			for b.Loop() {
				sequence++
				for tick := range 10 {
					now += 100 * time.Millisecond
					publisher.Tick(now)
					publisher.ConfirmVersion(now, log.Version())
					for i := tick; i < n; i += 10 {
						_ = publisher.Step(now, uint64(i+1), Message{RenewRequest: &RenewRequest{Sequence: sequence, LastResponse: sequence - 1, Version: log.Version(), Digest: log.Digest()}})
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

// BenchmarkSubscriberSecond measures one second of a subscriber: ten ticks, two renewals with their responses, and on average a quarter of a
// change from each of two publishers (21,000 changes a day are one every 4.1 s). Messages are encoded and decoded as on the wire.
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
			subscriber := NewSubscriber(SubscriberConfig{ID: "b0", Site: "s0", Seeds: addrs}, 0)
			now, bytes, n := time.Duration(0), 0, 0
			receive := func(addr string, m *Message) {
				encoded := Encode(m)
				bytes += len(encoded)
				got, err := Decode(encoded)
				if err != nil {
					b.Fatal(err)
				}
				if err := subscriber.Step(addr, got); err != nil {
					b.Fatal(err)
				}
			}
			processActions := func() {
				for hasActions := true; hasActions; {
					out := subscriber.Ready()
					hasActions = len(out.DialAddrs)+len(out.Sends) > 0
					for _, addr := range out.DialAddrs {
						subscriber.Connected(addr)
						receive(addr, &Message{Snapshot: log.Snapshot()})
					}
					for _, s := range out.Sends {
						encoded := Encode(&s.Message)
						bytes += len(encoded)
						if request := s.Message.RenewRequest; request != nil {
							receive(s.Addr, &Message{RenewResponse: &RenewResponse{Sequence: request.Sequence, Version: log.Version(), Digest: log.Digest(), SentVersion: log.Version(), Age: 50 * time.Millisecond, AgeKnown: true}})
						}
					}
				}
			}
			runSecond := func() {
				for range 10 {
					now += 100 * time.Millisecond
					subscriber.Tick(now)
					processActions()
				}
				if n++; n%4 == 0 {
					change, err := log.Append([]Item{{Key: ConfigPrefix + "name", Value: fmt.Appendf(nil, "%0100d", n)}})
					if err != nil {
						b.Fatal(err)
					}
					for _, addr := range subscriber.Publishers() {
						receive(addr, &Message{Change: &change})
					}
				}
			}
			for range 10 {
				runSecond()
			}
			if len(subscriber.Publishers()) != 2 || !subscriber.IsCurrent(now) {
				b.Fatalf("the subscriber is not current or follows %v", subscriber.Publishers())
			}
			bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				runSecond()
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
		})
	}
}

// BenchmarkSnapshot measures two costs of a snapshot: to build and encode it, which a publisher does once for all subscribers, and to decode
// and install it, which each subscriber does.
func BenchmarkSnapshot(b *testing.B) {
	log := newFullLog(b)
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			log.latestSnapshot = nil
			b.SetBytes(int64(len(log.sharedSnapshot().Encoded())))
		}
	})
	encoded := log.sharedSnapshot().Encoded()
	b.Run("take", func(b *testing.B) {
		b.ReportAllocs()
		b.SetBytes(int64(len(encoded)))
		for b.Loop() {
			m, err := Decode(encoded)
			if err != nil {
				b.Fatal(err)
			}
			if err := NewState().Install(*m.Snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDigest measures the computation of the digest after a change of 100 bytes, and of a complete state.
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
	encoded := log.sharedSnapshot().Encoded()
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
			subscriber := NewSubscriber(SubscriberConfig{ID: "b0", Site: "region0", Seeds: []string{"r0"}}, 0)
			subscriber.Tick(0)
			subscriber.Connected("r0")
			m, err := Decode(encoded)
			if err != nil {
				b.Fatal(err)
			}
			if err := subscriber.Step("r0", m); err != nil {
				b.Fatal(err)
			}
			subscriber.Ready()
			b.ReportMetric(heap()-before, "B")
			b.ReportMetric(float64(subscriber.State().Bytes()), "B/state")
			runtime.KeepAlive(subscriber)
		}
	})
}
