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

const connTimeout = 20 * time.Second // limit of a test connection's reads and writes

// fakeBalancer returns preset errors and records the calls that change its state.
type fakeBalancer struct {
	ready, inService error  // errors of the methods
	calls            string // names of the calls in order
}

func (f *fakeBalancer) Ready() error        { return f.ready }
func (f *fakeBalancer) OutOfService() error { f.calls += "out "; return nil }
func (f *fakeBalancer) InService() error    { f.calls += "in "; return f.inService }

// serve starts a server for a balancer that the test's end closes.
func serve(t *testing.T, maxConns int, b Balancer) *Server {
	s, err := Open("127.0.0.1:0", maxConns, b, nil, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s
}

// dial connects to a server.
func dial(t *testing.T, s *Server) net.Conn {
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(connTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// readResponse reads a response to the end of the connection and returns its status, headers and body.
func readResponse(t *testing.T, c net.Conn) (int, http.Header, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !r.Close {
		t.Fatalf("body: error %v; connection closed after the response: %t", err, r.Close)
	}
	return r.StatusCode, r.Header, string(body)
}

// TestCallsAndTheirAnswers guards the status codes, bodies and Allow headers that operators' tools rely on.
func TestCallsAndTheirAnswers(t *testing.T) {
	f := &fakeBalancer{}
	s := serve(t, 8, f)
	starting, leaving := errors.New("starting"), errors.New("leaving")
	for _, x := range []struct {
		call             string
		ready, inService error
		code             int
		body             string // part of the response's body
		allow            string // Allow header
	}{
		{call: "GET /control/ready", code: 200, body: "yes"},
		{call: "GET /control/ready", ready: starting, code: 503, body: "starting"},
		{call: "PUT /control/out-of-service", code: 200, body: "yes"},
		{call: "PUT /control/out-of-service", code: 200, body: "yes"},
		{call: "PUT /control/in-service", code: 200, body: "yes"},
		{call: "PUT /control/in-service", inService: leaving, code: 409, body: "leaving"},
		{call: "GET /control/in-service", code: 405, body: "PUT", allow: "PUT"},
		{call: "DELETE /control/ready", code: 405, body: "GET", allow: "GET, HEAD"},
		{call: "GET /control/read", code: 404, body: "/control/read"},
		{call: "GET //control/ready", code: 404},
		{call: "GET /", code: 404},
	} {
		f.ready, f.inService = x.ready, x.inService
		c := dial(t, s)
		_, _ = io.WriteString(c, x.call+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
		if code, header, body := readResponse(t, c); code != x.code || !strings.Contains(body, x.body) || header.Get("Allow") != x.allow {
			t.Errorf("%s: status %d, body %q, headers %v", x.call, code, body, header)
		}
	}
	if f.calls != "out out in in " {
		t.Fatal(f.calls)
	}
}

// TestSilentCallersMakeRoom opens more idle connections than the limit, some with a partial request, and then sends a request in
// pieces. It guards against idle connections that lock operators out: the oldest are closed before their timeout.
func TestSilentCallersMakeRoom(t *testing.T) {
	s := serve(t, 8, &fakeBalancer{})
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
	if code, _, _ := readResponse(t, c); code != 200 {
		t.Fatal(code)
	}
	for n, c := range silent[:30-8] { // the oldest connections are closed before their timeout
		if _, err := io.Copy(io.Discard, c); errors.Is(err, net.ErrClosed) || err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("idle connection %d is still open: %v", n, err)
		}
	}
}

// TestHugeHeadersAndForeignWords guards against requests with too large headers or of another protocol that are carried out.
func TestHugeHeadersAndForeignWords(t *testing.T) {
	f := &fakeBalancer{}
	s := serve(t, 8, f)
	for _, text := range []string{"PUT /control/out-of-service HTTP/1.1\r\nX: " + strings.Repeat("y", 64<<10), "OPEN 1 2 c=feed\r\n\r\n"} {
		c := dial(t, s)
		go func() { _, _ = io.WriteString(c, text) }()
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && r.StatusCode < 400 { // a connection reset may prevent reading the response
			t.Errorf("%.20q: status %d", text, r.StatusCode)
		}
	}
	if f.calls != "" {
		t.Fatal(f.calls)
	}
}
