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

// measureCPU starts a measurement. The returned function ends it and reports and returns the CPU time of one operation in ns, garbage
// collection included. On a shared machine the wall clock is less meaningful.
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

// countingPort is a network port that counts the bytes of the streams that it opens, in both directions.
type countingPort struct {
	*memnet.Port
	bytes atomic.Int64
}

func (c *countingPort) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := c.Port.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &c.bytes}, nil
}

// countingConn counts the bytes that are read from and written to a connection.
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

// encodeAlive encodes the library's message that a member is alive: message type 4, then its fields in the older format of msgpack.
func encodeAlive(m membership.Member) []byte {
	encoded := []byte{4, 0x86}
	appendBytes := func(b []byte) {
		if len(b) < 32 {
			encoded = append(encoded, 0xa0|byte(len(b)))
		} else {
			encoded = append(encoded, 0xda, byte(len(b)>>8), byte(len(b)))
		}
		encoded = append(encoded, b...)
	}
	ip := m.Addr.Addr().As4()
	appendBytes([]byte("Incarnation"))
	encoded = append(encoded, 1)
	appendBytes([]byte("Node"))
	appendBytes([]byte(m.ID))
	appendBytes([]byte("Addr"))
	appendBytes(ip[:])
	appendBytes([]byte("Port"))
	encoded = append(encoded, 0xcd, byte(m.Addr.Port()>>8), byte(m.Addr.Port()))
	appendBytes([]byte("Meta"))
	appendBytes(encodeMeta(m))
	appendBytes([]byte("Vsn"))
	appendBytes([]byte{memberlist.ProtocolVersionMin, memberlist.ProtocolVersionMax, memberlist.ProtocolVersion2Compatible, 0, 0, 0})
	return encoded
}

// memberAt returns member i with a random ID. Streams are compressed, and regular IDs would make them unrealistically small.
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

// BenchmarkExchange measures the library's full state exchange between two members that both know all n members: the CPU time of both
// together. Each member starts one exchange per PushPullInterval and takes part in as many that others start.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{17, 100, 300, 1000, 2300, 4600} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			network := memnet.New(7, 0)
			waitForMembers := func(list *memberlist.Memberlist, count int) {
				for end := time.Now().Add(30 * time.Second); list.NumMembers() < count; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.Fatalf("%d of %d members are known", list.NumMembers(), count)
					}
				}
			}
			first, _ := openList(b, network, 0)
			second, secondPort := openList(b, network, 1)
			remotePort := network.Port(2)
			for i := 2; i < n; i++ {
				if _, err := remotePort.WriteTo(encodeAlive(memberAt(i)), memnet.Addr(0).String()); err != nil {
					b.Fatal(err)
				}
				if i%256 == 0 || i == n-1 { // the library queues 1,024 messages
					waitForMembers(first, i)
				}
			}
			join := func() {
				if _, err := second.Join([]string{memnet.Addr(0).String()}); err != nil {
					b.Fatal(err)
				}
			}
			join()
			waitForMembers(first, n)
			waitForMembers(second, n)
			join()
			secondPort.bytes.Store(0)
			done := measureCPU(b)
			for range b.N {
				join()
			}
			done()
			b.ReportMetric(float64(secondPort.bytes.Load())/float64(b.N)/2, "packet-B")
		})
	}
}

// openList starts the library at a port of the network, without any periodic traffic.
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

// metaDelegate supplies the metadata of a member and ignores all messages.
type metaDelegate struct{ self membership.Member }

func (d *metaDelegate) NodeMeta(int) []byte             { return encodeMeta(d.self) }
func (d *metaDelegate) NotifyMsg([]byte)                {}
func (d *metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *metaDelegate) LocalState(bool) []byte          { return nil }
func (d *metaDelegate) MergeRemoteState([]byte, bool)   {}
