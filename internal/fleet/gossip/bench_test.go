package gossip

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/lab/memnet"
)

// measureCPU starts a measurement. The function that it returns ends it, and reports and returns the CPU time of one operation in ns, garbage
// collection included: on a shared machine the wall clock says less.
func measureCPU(b *testing.B) func() float64 {
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	from := cpuTime()
	b.ResetTimer()
	return func() float64 {
		b.StopTimer()
		each := float64(cpuTime()-from) / float64(b.N)
		b.ReportMetric(each, "cpu-ns/op")
		return each
	}
}

// countingPort is a network port that counts the bytes of the streams that it opens, both ways.
type countingPort struct {
	*memnet.Port
	bytes atomic.Int64
}

func (c *countingPort) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	conn, err := c.Port.DialTimeout(addr, within)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &c.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// encodeAlive encodes the library's message that a member is alive: type 4, then its fields in the older form of msgpack.
func encodeAlive(m membership.Member) []byte {
	text := []byte{4, 0x86}
	raw := func(b []byte) {
		if len(b) < 32 {
			text = append(text, 0xa0|byte(len(b)))
		} else {
			text = append(text, 0xda, byte(len(b)>>8), byte(len(b)))
		}
		text = append(text, b...)
	}
	ip := m.Addr.Addr().As4()
	raw([]byte("Incarnation"))
	text = append(text, 1)
	raw([]byte("Node"))
	raw([]byte(m.ID))
	raw([]byte("Addr"))
	raw(ip[:])
	raw([]byte("Port"))
	text = append(text, 0xcd, byte(m.Addr.Port()>>8), byte(m.Addr.Port()))
	raw([]byte("Meta"))
	raw(encodeMeta(m))
	raw([]byte("Vsn"))
	raw([]byte{memberlist.ProtocolVersionMin, memberlist.ProtocolVersionMax, memberlist.ProtocolVersion2Compatible, 0, 0, 0})
	return text
}

// memberAt makes a member with a random ID, as streams are compressed.
func memberAt(i int) membership.Member {
	rng := rand.New(rand.NewPCG(uint64(i), 0x51))
	return membership.Member{
		ID:                 fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()),
		Name:               fmt.Sprintf("b%04d", i),
		Addr:               netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7001),
		Machine:            fmt.Sprintf("m%04d", i),
		Zone:               fmt.Sprintf("zone-%02d", i%11),
		Site:               fmt.Sprintf("region-%d", i%11%3),
		Incarnation:        1,
		ProtocolVersion:    ProtocolVersion,
		MinProtocolVersion: MinProtocolVersion,
	}
}

// BenchmarkExchange is the library's full exchange between two members that both know all of n: the CPU time of both together. Each
// member starts one per PushPullInterval, and receives as many.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			network := memnet.New(7, 0)
			knows := func(list *memberlist.Memberlist, many int) {
				for end := time.Now().Add(30 * time.Second); list.NumMembers() < many; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.Fatalf("%d of %d members are known", list.NumMembers(), many)
					}
				}
			}
			first, _ := openList(b, network, 0)
			second, at := openList(b, network, 1)
			far := network.Port(2)
			for i := 2; i < n; i++ {
				if _, err := far.WriteTo(encodeAlive(memberAt(i)), memnet.Addr(0).String()); err != nil {
					b.Fatal(err)
				}
				if i%256 == 0 || i == n-1 { // the library queues 1,024 messages
					knows(first, i)
				}
			}
			join := func() {
				if _, err := second.Join([]string{memnet.Addr(0).String()}); err != nil {
					b.Fatal(err)
				}
			}
			join()
			knows(first, n)
			knows(second, n)
			join()
			at.bytes.Store(0)
			done := measureCPU(b)
			for range b.N {
				join()
			}
			done()
			b.ReportMetric(float64(at.bytes.Load())/float64(b.N)/2, "packet-B")
		})
	}
}

// openList opens the library at a port of the network, without any traffic of its own.
func openList(b *testing.B, network *memnet.Network, num int) (*memberlist.Memberlist, *countingPort) {
	self := memberAt(num)
	self.Addr = memnet.Addr(num)
	port := &countingPort{Port: network.Port(num)}
	cfg := memberlist.DefaultLANConfig()
	TuneMemberlist(cfg)
	cfg.ProbeInterval = 0
	cfg.GossipInterval = 0
	cfg.PushPullInterval = 0
	cfg.TCPTimeout = time.Minute
	cfg.Name = self.ID
	cfg.Transport = port
	cfg.BindAddr = self.Addr.Addr().String()
	cfg.BindPort = int(self.Addr.Port())
	cfg.AdvertiseAddr = cfg.BindAddr
	cfg.AdvertisePort = cfg.BindPort
	cfg.DNSConfigPath = ""
	cfg.Logger = log.New(io.Discard, "", 0)
	cfg.Delegate = &metaDelegate{self}
	list, err := memberlist.Create(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = list.Shutdown() })
	return list, port
}

// metaDelegate has the metadata of a member and does nothing else.
type metaDelegate struct{ self membership.Member }

func (d *metaDelegate) NodeMeta(int) []byte             { return encodeMeta(d.self) }
func (d *metaDelegate) NotifyMsg([]byte)                {}
func (d *metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *metaDelegate) LocalState(bool) []byte          { return nil }
func (d *metaDelegate) MergeRemoteState([]byte, bool)   {}
