package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// call makes one call at the operators' address and answers its code and what it says.
func (s *site) call(method, path string) (int, string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.mgmt+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Close = true
	r, err := (&http.Client{Timeout: bound}).Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

func (s *site) yes(method, path string) {
	s.t.Helper()
	if code, says := s.call(method, path); code != 200 {
		s.t.Fatalf("%s %s: %d, %q", method, path, code, says)
	}
}

// TestADrainAndItsWayBack empties a balancer twice, once to the end and once given up half way. Guards against a balancer
// that says yes while it is emptied, that holds a client at 4 s, or that has no way back.
func TestADrainAndItsWayBack(t *testing.T) {
	s := begin(t, []string{"MGMT"}, "s-1")
	s.client("PING\r\n").want("PONG\r\n")
	s.yes("GET", "/control/ready")
	var clients []*ask
	for range 8 {
		a, _ := s.up()
		clients = append(clients, a)
	}
	late := s.client(open) // its setup try is out at the call
	e := s.session()
	began := time.Now()
	s.yes("PUT", "/control/out-of-service")
	s.yes("PUT", "/control/out-of-service")
	s.client("PING\r\n").want("NO\r\n")
	if code, says := s.call("GET", "/control/ready"); code != 503 || !strings.Contains(says, "out of service") {
		t.Fatalf("%d, %q", code, says)
	}
	io.WriteString(e, "UP 9\r\n")
	late.want("UP 9\r\n")
	for _, a := range append(clients, late) {
		a.want("MOVE\r\n")
		ends(t, a.r, false)
	}
	if took := time.Since(began); took < 300*time.Millisecond || took > 3900*time.Millisecond {
		t.Fatalf("emptied within %v", took)
	}
	if got := s.client(open).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Fatalf("a newcomer got %q", got)
	}
	s.yes("PUT", "/control/in-service")
	s.client("PING\r\n").want("PONG\r\n")
	s.yes("GET", "/control/ready")
	a, _ := s.up()
	s.yes("PUT", "/control/out-of-service")
	s.yes("PUT", "/control/in-service") // before the first move
	s.up()
	if n := s.counted("drains"); n != 2 {
		t.Fatal(n)
	}
	s.child.Signal(syscall.SIGTERM)
	s.waitLog("leaving")
	for call, want := range map[string]int{"GET /control/ready": 503, "PUT /control/out-of-service": 200, "PUT /control/in-service": 409} {
		var method, path string
		fmt.Sscan(call, &method, &path)
		if code, says := s.call(method, path); code != want {
			t.Errorf("%s while it leaves: %d, %q", call, code, says)
		}
	}
	a.want("MOVE\r\n")
}
