package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["ran-and-refused"] = ranAndRefused }

// cell is what the servers of one cell know together: which requests have run, and whose they were.
type cell struct {
	mu      sync.Mutex
	ran     map[string]time.Time // when a request has run, by its id: repeats within the window are dropped
	at      map[string]string    // the servers that got a request, by its id
	effects map[string][]string  // the requests that took effect, by the client's key
}

// run lets a request take effect, unless it is a repeat within the window.
func (c *cell) run(uid, id, key string) {
	const window = 5 * time.Second
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[id] += uid + " "
	if first, isKnown := c.ran[id]; isKnown && time.Since(first) < window {
		return
	}
	c.ran[id] = time.Now()
	c.effects[key] = append(c.effects[key], id+" at "+uid)
}

// ranAndRefused: three balancers are a fleet that records the sessions of a class whose repeats the servers of one cell drop. At one of five
// servers three of four connections are reset under requests that have begun, for six seconds. Half a second after that has begun one
// balancer is killed. Without the trouble none is.
func ranAndRefused(r *rig) string {
	a := r.startAgent()
	known := &cell{ran: map[string]time.Time{}, at: map[string]string{}, effects: map[string][]string{}}
	var failing atomic.Bool
	var count atomic.Int64
	for n := range 5 {
		s := r.serve(fmt.Sprintf("s%d", n))
		s.onOpen = func(s *server, c net.Conn, line string) {
			words := strings.Fields(line)
			known.run(s.uid, words[1], words[2])
			if n == 0 && failing.Load() && count.Add(1)%4 > 0 {
				time.Sleep(600 * time.Millisecond)
				r.note("server %s: resets %s", s.uid, words[1])
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				return
			}
			_, _ = fmt.Fprintf(c, "UP %s\r\n", s.uid)
		}
		a.list(s, "in_service", 0)
	}
	settings := strings.Replace(defaultSettings, `"Effect":"read_like","Group":"all"`, `"Effect":"idempotency_key","Group":"cell"`, 1)
	all, procs := r.startFleet(settings, "hold \"intents\" { grades = [\"feed\"] }\n")
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	refused := 0
	operation := func(n int) {
		defer clients.Done()
		key := 0x9e3779b97f4a7c15 * uint64(n+1)
		for try := range 4 { // clients of such a class come again after BUSY alone
			id := fmt.Sprintf("%016x", 0x10000+16*n+try)
			c, err := r.connect(fmt.Sprintf("c%d.%d", n, try), all[(n+try)%2].address)
			if err != nil {
				r.note("client c%d.%d: %v", n, try, err)
				return
			}
			open := fmt.Sprintf("OPEN %s %016x c=feed,t=acme,d=1800,g=%016x\r\n", id, key, n+1)
			if try > 0 {
				open = strings.Replace(open, "\r\n", ",r=1\r\n", 1)
			}
			answer, _ := c.request(open, deadlineMs*time.Millisecond+time.Second)
			words := strings.Fields(answer + " none")
			mu.Lock()
			answers[words[0]]++
			known.mu.Lock()
			if at := known.at[id]; words[0] == "BUSY" && at != "" {
				refused++
				r.note("client c%d.%d: %s is refused, and has run at %s", n, try, id, at)
			}
			known.mu.Unlock()
			mu.Unlock()
			if words[0] != "BUSY" {
				time.Sleep(300 * time.Millisecond)
				_ = c.conn.Close()
				return
			}
			_ = c.conn.Close()
			wait, _ := strconv.Atoi(words[1])
			time.Sleep(time.Duration(wait) * time.Millisecond)
		}
	}
	for n := range 480 { // 60 a second
		switch {
		case n == 120:
			failing.Store(true)
			r.note("server s0 begins to fail")
		case n == 150 && r.trouble:
			procs[2].signal(syscall.SIGKILL)
		}
		clients.Add(1)
		go operation(n)
		time.Sleep(time.Second / 60)
	}
	failing.Store(false)
	clients.Wait()
	twice := 0
	known.mu.Lock()
	for key, effects := range known.effects {
		if len(effects) > 1 {
			twice++
			r.note("the operation of client key %s took effect %d times: %s", key, len(effects), strings.Join(effects, ", "))
		}
	}
	known.mu.Unlock()
	r.note("answers: %v; %d requests had run and were refused; %d operations took effect twice", answers, refused, twice)
	for _, p := range procs {
		p.keepLog()
	}
	if answers["UP"] == 0 {
		r.fail("no request was served")
	}
	if refused > 0 {
		return fmt.Sprintf("%d requests that had run were answered BUSY, and %d operations took effect twice", refused, twice)
	}
	return ""
}
