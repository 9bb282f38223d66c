package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
)

const (
	hostileClients = 4         // number of hostile clients of one kind
	memberMemory   = 192 << 10 // memory limit of a member in KiB
)

// hostileClient sends to an address at full speed until stop reports true, and returns how often it sent.
type hostileClient func(address string, n int, stop func() bool) int64

// hostileClientKinds are the ways in which one client sends at full speed.
var hostileClientKinds = map[string]hostileClient{
	"connects and leaves":  func(address string, _ int, stop func() bool) int64 { return sendAnew(address, "", stop) },
	"sends PING and comes": func(address string, _ int, stop func() bool) int64 { return sendAnew(address, "PING\r\n", stop) },
	"sends unsound requests under new names": func(address string, n int, stop func() bool) int64 {
		return sendAnew(address, fmt.Sprintf("OPEN %%x zz c=feed,t=%d-%%[1]x,g=%d-%%[1]x,d=900\r\n", n, n), stop)
	},
	"sends requests of unknown classes under new names": func(address string, n int, stop func() bool) int64 {
		return sendAnew(address, fmt.Sprintf("OPEN %%x %%[1]x c=%d-%%[1]x,t=%d-%%[1]x,g=%d-%%[1]x,d=900\r\n", n, n, n), stop)
	},
	"sends sound requests under new names": func(address string, n int, stop func() bool) int64 {
		return sendAnew(address, fmt.Sprintf("OPEN %%x %%[1]x c=feed,t=%d-%%[1]x,g=%d-%%[1]x,d=60000\r\n", n, n), stop)
	},
	"sends PING on one connection": func(address string, _ int, stop func() bool) int64 {
		return sendOn(address, "", "PING\r\n", stop)
	},
	"sends unsound lines on one connection": func(address string, _ int, stop func() bool) int64 {
		return sendOn(address, "", "OPEN z\r\n", stop)
	},
	"sends small lines in a session": func(address string, n int, stop func() bool) int64 {
		return sendOn(address, fmt.Sprintf("OPEN %x 2 c=feed,d=1500\r\n", 0xabc000+n), "M\r\n", stop)
	},
}

// hostileOperatorKinds are the ways in which a client sends to the operators' address at full speed.
var hostileOperatorKinds = map[string]hostileClient{
	"calls paths that do not exist": func(address string, n int, stop func() bool) int64 {
		return sendAnew(address, fmt.Sprintf("GET /%d-%%x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", n), stop)
	},
	"sends operators nonsense": func(address string, _ int, stop func() bool) int64 {
		return sendOn(address, "", "NONSENSE\r\n", stop)
	},
}

// sendAnew sends a text on one connection after another, waits for an answer and leaves. The text is a format of a number that grows.
func sendAnew(address, text string, stop func() bool) (sent int64) {
	for ; !stop(); sent++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if strings.Contains(text, "%") {
			_, _ = fmt.Fprintf(c, text, sent+1)
		} else {
			_, _ = io.WriteString(c, text)
		}
		if text != "" {
			_, _ = bufio.NewReader(c).ReadString('\n')
		}
		_ = c.Close()
	}
	return sent
}

// sendOn sends a line again and again on a connection, whose answers it reads, and connects again when that has ended.
func sendOn(address, first, line string, stop func() bool) (sent int64) {
	lines := []byte(strings.Repeat(line, 100))
	for !stop() {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(crowdTime))
		r := bufio.NewReader(c)
		if first != "" {
			_, _ = io.WriteString(c, first)
			_, _ = r.ReadString('\n')
		}
		go func() { _, _ = io.Copy(io.Discard, r) }()
		for err = nil; err == nil && !stop(); sent++ {
			_, err = c.Write(lines)
		}
		_ = c.Close()
	}
	return sent
}

// TestOneClientAtFullSpeedDelaysNoOther has a few clients send at full speed, in one way after another, and in a hot restart. It guards against
// other clients that get their answers late or never, and against memory that grows with what such a client sends.
func TestOneClientAtFullSpeedDelaysNoOther(t *testing.T) {
	s := startSite(t, []string{"MGMT", "SHARED", "SABLETALLY_FILES=1024", "MEMORY=96", "LONG", "SLOW_CONNECT=yes", "SLOW_MESSAGES=yes"})
	for _, uid := range []string{"s-1", "s-2"} {
		s.listServer(uid, startAcceptingServer(t), emulator.InService)
		s.waitLog(`"server":"` + uid + `"`)
	}
	for _, restarts := range []bool{false, true} {
		for _, name := range slices.Sorted(maps.Keys(hostileClientKinds)) {
			s.playHostileClients(name, s.child.Addr, hostileClientKinds[name], restarts)
		}
		for _, name := range slices.Sorted(maps.Keys(hostileOperatorKinds)) {
			s.playHostileClients(name, s.child.AdminAddr, hostileOperatorKinds[name], restarts)
		}
	}
}

// TestHostileClientsOfAMember plays crowds and hostile clients at a member of a fleet, and sends nonsense to the port of its members. It guards
// against memory that grows with the records and IDs that clients send, and against other clients that wait meanwhile.
func TestHostileClientsOfAMember(t *testing.T) {
	a := newAgent(t)
	for _, uid := range []string{"s-1", "s-2"} {
		a.Set(newEndpoint(uid, startAcceptingServer(t), emulator.InService))
	}
	m := newTestFleetWithBlocks(t, 3, false, "hold \"intents\" { grades = [\"pay\"] }\n", a)
	m.waitFor("every shard has its replicas", m.all, repaired)
	member := m.procs[1]
	kinds := maps.Clone(hostileClientKinds)
	kinds["sends requests that are recorded under new names"] = func(address string, n int, stop func() bool) int64 {
		return sendAnew(address, fmt.Sprintf("OPEN %x%%08x %%[1]x c=pay,d=8000\r\n", n+1), stop)
	}
	play := func(name, address string, send hostileClient) {
		p := hostilePlay{t: t, name: name, address: address, send: send, memory: memberMemory}
		p.run(member.Addr, func() *cluster.Process { return member })
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		play(name, member.Addr, kinds[name])
	}
	play("sends members nonsense", m.report(1).Self.Addr, func(address string, _ int, stop func() bool) int64 {
		return sendOn(address, "", "NONSENSE\r\n", stop)
	})
	m.waitForQuorum()
}

// playHostileClients plays hostile clients of one kind beside other clients, and restarts the balancer hot in the middle if restarts is set.
func (s *site) playHostileClients(name, address string, send hostileClient, restarts bool) {
	s.t.Helper()
	p := hostilePlay{t: s.t, name: fmt.Sprintf("%s (hot restart %v)", name, restarts), address: address, send: send, memory: crowdMemory}
	p.run(s.child.Addr, func() *cluster.Process {
		if restarts {
			time.Sleep(crowdDuration(s.t) / 4)
			old := s.newSuccessor()
			_ = old.Signal(syscall.SIGTERM)
		}
		return s.child
	})
}

// hostilePlay is a play of hostile clients of one kind.
type hostilePlay struct {
	t       *testing.T
	name    string
	address string // address that they send to
	send    hostileClient
	memory  int64 // memory limit of the process in KiB
}

// run plays hostile clients beside other clients of an address. meanwhile is called during the play and returns the process to check.
func (p hostilePlay) run(neighborAddress string, meanwhile func() *cluster.Process) {
	p.t.Helper()
	neighbors := startNeighbors(neighborAddress)
	end := time.Now().Add(crowdDuration(p.t))
	var running sync.WaitGroup
	var sent atomic.Int64
	for n := range hostileClients {
		running.Go(func() { sent.Add(p.send(p.address, n, func() bool { return time.Now().After(end) })) })
	}
	process := meanwhile()
	running.Wait()
	neighbors.end()
	peak := peakMemory(p.t, process)
	p.t.Logf("a client that %s: sent %d times; peak memory %d KiB; other clients: %v, the slowest %v", p.name, sent.Load(), peak, neighbors.answers, neighbors.slowest)
	if peak > p.memory {
		p.t.Errorf("a client that %s: the process had %d KiB, want %d at most", p.name, peak, p.memory)
	}
	if neighbors.slowest > crowdPatience {
		p.t.Errorf("a client that %s: another client waited for %v, want %v at most", p.name, neighbors.slowest, crowdPatience)
	}
}
