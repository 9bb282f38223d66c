package changefeed

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// full is a log with a state of the size that is wanted: 17 members, 256 views, and 500 KB of configuration.
func full(b testing.TB) *Log {
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

// BenchmarkChangeTold is a change of 100 bytes as a relay hands it to all its followers, and takes their renewals of a second; the
// message is worded once.
func BenchmarkChangeTold(b *testing.B) {
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			log := full(b)
			relay := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
			for i := range n {
				if err := relay.Connected(0, uint64(i+1), Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("b%d", i), Version: log.Version(), Digest: log.Digest()}); err != nil {
					b.Fatal(err)
				}
			}
			relay.Ready()
			value := make([]byte, 100)
			b.ReportAllocs()
			sent, at := 0, uint64(0)
			for b.Loop() {
				if _, err := log.Append([]Item{{Key: ConfigPrefix + "name1", Value: value}}); err != nil {
					b.Fatal(err)
				}
				relay.LogChanged()
				out := relay.Ready()
				for _, s := range out.Sends {
					sent += len(s.Message.Encoded())
				}
				b.StopTimer() // acknowledged, so that no window fills
				at++
				for i := range n {
					_ = relay.Step(time.Duration(at)*time.Millisecond, uint64(i+1), Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}})
				}
				relay.Ready()
				b.StartTimer()
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "B/follower")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/follower")
		})
	}
}

// BenchmarkRelaySecond is a second of a relay without changes: ten beats, and a renewal of each follower.
func BenchmarkRelaySecond(b *testing.B) {
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			log := full(b)
			relay := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
			for i := range n {
				if err := relay.Connected(0, uint64(i+1), Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("b%d", i), Version: log.Version(), Digest: log.Digest()}); err != nil {
					b.Fatal(err)
				}
			}
			relay.Ready()
			b.ReportAllocs()
			now, sent, number := time.Duration(0), 0, uint64(0)
			for b.Loop() {
				number++
				for beat := range 10 {
					now += 100 * time.Millisecond
					relay.Tick(now)
					relay.ConfirmVersion(now, log.Version())
					for i := beat; i < n; i += 10 {
						_ = relay.Step(now, uint64(i+1), Message{RenewRequest: &RenewRequest{Sequence: number, LastResponse: number - 1, Version: log.Version(), Digest: log.Digest()}})
					}
					for _, s := range relay.Ready().Sends {
						sent += len(s.Message.Encoded())
					}
				}
			}
			if len(relay.sessions) != n {
				b.Fatalf("%d followers", len(relay.sessions))
			}
			b.ReportMetric(float64(sent)/float64(b.N)/float64(n), "B/follower")
		})
	}
}

// BenchmarkFollowerSecond is a follower's second: ten beats, two renewals with their answers, and, as 21,000 changes a day are one
// in 4.1 s, a quarter of a change by each of two relays; worded and read as on the wire.
func BenchmarkFollowerSecond(b *testing.B) {
	for _, relays := range []int{3, 17, 100} {
		b.Run(fmt.Sprintf("relays=%d", relays), func(b *testing.B) {
			log := NewLog(LogConfig{MaxChanges: 1024, MaxBytes: 1 << 20})
			items := []Item{{Key: FleetKey, Value: []byte("f")}}
			var addrs []string
			for i := range relays {
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
					again = len(out.Dial)+len(out.Sends) > 0
					for _, a := range out.Dial {
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

// BenchmarkSnapshot is the whole state as it is built and worded once for all followers, and as one of them reads and takes it.
func BenchmarkSnapshot(b *testing.B) {
	log := full(b)
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

// BenchmarkDigest is the digest's part: of a change of 100 bytes, and of the whole state anew.
func BenchmarkDigest(b *testing.B) {
	log := full(b)
	b.Run("change", func(b *testing.B) {
		items := []Item{{Key: ConfigPrefix + "name", Value: make([]byte, 100)}}
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := log.state.evaluate(items); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("whole", func(b *testing.B) {
		items := log.state.Items("")
		b.SetBytes(int64(log.state.Bytes()))
		for b.Loop() {
			if _, _, err := NewState().evaluate(items); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory is what a relay holds for each follower, and a follower for the whole state with its list of relays.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	log := full(b)
	text := log.sharedSnapshot().Encoded()
	for _, n := range []int{270, 541, 1840} {
		b.Run(fmt.Sprintf("relay/followers=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				relay := NewPublisher(PublisherConfig{MaxSubscribers: 2 * n, WindowBytes: 64 << 10, SnapshotBytesPerSecond: 32 << 20}, log, 0)
				for i := range n {
					h := Hello{ProtocolVersion: ProtocolVersion, ID: fmt.Sprintf("%032d", i), Name: fmt.Sprintf("balancer%d", i), Machine: fmt.Sprintf("machine%d", i), Zone: "zone", Site: "region",
						Version: log.Version(), Digest: log.Digest()}
					if err := relay.Connected(0, uint64(i+1), h); err != nil {
						b.Fatal(err)
					}
				}
				relay.Ready()
				b.ReportMetric((heap()-before)/float64(n), "B/follower")
				runtime.KeepAlive(relay)
			}
		})
	}
	b.Run("follower", func(b *testing.B) {
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
