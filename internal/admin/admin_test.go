package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const bound = 20 * time.Second

// fake answers calls with errors of its own and tells what was wanted.
type fake struct {
	ready, in error
	wanted    string
}

func (f *fake) Ready() error        { return f.ready }
func (f *fake) OutOfService() error { f.wanted += "out "; return nil }
func (f *fake) InService() error    { f.wanted += "in "; return f.in }

func serve(t *testing.T, most int, b Balancer) *Server {
	s, err := Open("127.0.0.1:0", most, b, nil, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(bound))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// answered reads a call's answer, to the end of the connection.
func answered(t *testing.T, c net.Conn) (int, http.Header, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !r.Close {
		t.Fatalf("%v, one call to a connection: %t", err, r.Close)
	}
	return r.StatusCode, r.Header, string(body)
}

func TestCallsAndTheirAnswers(t *testing.T) {
	f := &fake{}
	s := serve(t, 8, f)
	starting, leaving := errors.New("starting"), errors.New("leaving")
	for _, x := range []struct {
		call      string
		ready, in error
		code      int
		says      string
		allow     string
	}{
		{call: "GET /control/ready", code: 200, says: "yes"},
		{call: "GET /control/ready", ready: starting, code: 503, says: "starting"},
		{call: "PUT /control/out-of-service", code: 200, says: "yes"},
		{call: "PUT /control/out-of-service", code: 200, says: "yes"},
		{call: "PUT /control/in-service", code: 200, says: "yes"},
		{call: "PUT /control/in-service", in: leaving, code: 409, says: "leaving"},
		{call: "GET /control/in-service", code: 405, says: "PUT", allow: "PUT"},
		{call: "DELETE /control/ready", code: 405, says: "GET", allow: "GET, HEAD"},
		{call: "GET /control/read", code: 404, says: "/control/read"},
		{call: "GET //control/ready", code: 404},
		{call: "GET /", code: 404},
	} {
		f.ready, f.in = x.ready, x.in
		c := dial(t, s)
		_, _ = io.WriteString(c, x.call+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		if code, head, body := answered(t, c); code != x.code || !strings.Contains(body, x.says) || head.Get("Allow") != x.allow {
			t.Errorf("%s: %d, %q, %v", x.call, code, body, head)
		}
	}
	if f.wanted != "out out in in " {
		t.Fatal(f.wanted)
	}
}

// TestSilentCallersMakeRoom holds more connections than the address has, some with half a call, and calls beside them, in
// pieces too. Guards against operators' calls that find no connection.
func TestSilentCallersMakeRoom(t *testing.T) {
	s := serve(t, 8, &fake{})
	var silent []net.Conn
	for n := range 30 {
		c := dial(t, s)
		if n%2 == 0 {
			_, _ = io.WriteString(c, "PUT /control/out-of-service HTTP/1.1\r\nHo")
		}
		silent = append(silent, c)
	}
	c := dial(t, s)
	for _, part := range []string{"G", "ET /control/ready HTT", "P/1.1\r", "\nHost: x\r\n\r", "\n"} {
		_, _ = io.WriteString(c, part)
	}
	if code, _, _ := answered(t, c); code != 200 {
		t.Fatal(code)
	}
	for n, c := range silent[:30-8] { // the oldest have gone, before their time is up
		if _, err := io.Copy(io.Discard, c); errors.Is(err, net.ErrClosed) || err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("caller %d is still held: %v", n, err)
		}
	}
}

func TestHugeHeadersAndForeignWords(t *testing.T) {
	f := &fake{}
	s := serve(t, 8, f)
	for _, text := range []string{"PUT /control/out-of-service HTTP/1.1\r\nX: " + strings.Repeat("y", 64<<10), "OPEN 1 2 c=feed\r\n\r\n"} {
		c := dial(t, s)
		go func() { _, _ = io.WriteString(c, text) }()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && r.StatusCode < 400 { // a reset may overtake the answer
			t.Errorf("%.20q: %d", text, r.StatusCode)
		}
	}
	if f.wanted != "" {
		t.Fatal(f.wanted)
	}
}
