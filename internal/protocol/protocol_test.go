package protocol

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// openLine is a session request with all kinds of fields, including unknown ones.
const openLine = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,r=1,x=y\r\n"

// Checks the decoding of session requests, and that WithTimeout changes only the value of d and finds it behind other fields.
func TestAnOpenLineIsReadAndGoesOnUnchangedButForD(t *testing.T) {
	l := Decode([]byte(openLine))
	request := l.Request
	if l.Err != nil || l.Kind != KindOpen || request.ID != 0x9b1f03aa5c7e2d41 || request.Key != 0x7f3a9c21e0b4d655 || request.Class != "chat" ||
		request.Tenant != "acme" || request.Timeout != 2*time.Second || !request.HasTimeout || request.Group != 0x5c0f6e1a2b3d4c59 {
		t.Fatalf("decoded %+v, request %+v", l, request)
	}
	for timeout, d := range map[time.Duration]string{1999*time.Millisecond + 999: "1999", 0: "0", -time.Second: "0", time.Hour: "3600000"} {
		if got, want := string(request.WithTimeout(timeout)), strings.Replace(openLine, "d=2000", "d="+d, 1); got != want {
			t.Errorf("WithTimeout returned %q, want %q", got, want)
		}
	}
	if l = Decode([]byte("OPEN 1 2\r\n")); l.Err != nil || string(l.Request.WithTimeout(time.Second)) != "OPEN 1 2\r\n" {
		t.Errorf("decoded %+v", l)
	}
	if l = Decode([]byte("OPEN 1 2 dd=7,d=5,h=1.5,at=s-1\r\n")); l.Err != nil || l.Request.LoadHint != 1.5 || l.Request.StickyEndpoint != "s-1" ||
		string(l.Request.WithTimeout(3*time.Millisecond)) != "OPEN 1 2 dd=7,d=3,h=1.5,at=s-1\r\n" {
		t.Errorf("decoded %+v", l)
	}
}

// Checks the kinds and values of well-formed lines, and that malformed ones are rejected.
func TestLinesByTheirFirstWord(t *testing.T) {
	for text, want := range map[string]Line{
		"UP RECEIPT 1\r\n": {Kind: KindEstablished}, "UP\r\n": {Kind: KindEstablished}, "UPPER\r\n": {}, "BUSY\r\n": {Kind: KindRejected},
		"BUSY 250\r\n": {Kind: KindRejected, Value: 250}, "LOAD 18410.797\r\n": {Kind: KindLoad, Value: 18410.797}, "MOVE\r\n": {Kind: KindMigrate},
		"BYE\r\n": {Kind: KindEnded}, "ERR x\r\n": {Kind: KindFailed}, "PING\r\n": {Kind: KindPing}, "\r\n": {}, "PONG\r\n": {Kind: KindPong},
	} {
		if l := Decode([]byte(text)); l.Kind != want.Kind || l.Value != want.Value || l.Err != nil || string(l.Raw) != text {
			t.Errorf("%q: %+v", text, l)
		}
	}
	if f := Decode([]byte("PONG x0=0.5,x1=2 cpu=z\r\n")).Fields; len(f) != 2 || f["x0"] != 0.5 || f["x1"] != 2 {
		t.Error(f)
	}
	for _, text := range []string{
		"LOAD\r\n", "LOAD -1\r\n", "LOAD NaN\r\n", "LOAD 1e999\r\n", "BUSY x\r\n", "UP\n", "OPEN 1\r\n", "OPEN  1 2\r\n", "OPEN 1 2 3 4\r\n",
		"OPEN 1 2 c\r\n", "OPEN 1 2 =x\r\n", "OPEN 1 2 c=x,\r\n", "OPEN 1 2 d=\r\n", "OPEN 1 2 d=+5\r\n", "OPEN 1 2 d=1,d=1\r\n",
		"OPEN 1 2 y=1,y=2\r\n", "OPEN x 2\r\n", "OPEN 1 -2\r\n", "OPEN 0x1 2\r\n", "OPEN 1 12345678123456789\r\n",
		"OPEN 1 2 c=\r\n", "OPEN 1 2 c=a\x00\r\n", "OPEN 1 2 c=\xff\r\n", "OPEN 1 2 c=a\tb\r\n", "OPEN 1 2 h=-1\r\n", "OPEN 1 2 h=Inf\r\n",
	} {
		if l := Decode([]byte(text)); l.Err == nil {
			t.Errorf("%q was accepted: %+v", text, l.Request)
		}
	}
	if got := string(RejectLine(1500 * time.Microsecond)); got != "BUSY 1\r\n" {
		t.Error(got)
	}
	if got := string(RejectLine(0)); got != "BUSY\r\n" {
		t.Error(got)
	}
}

// FuzzSplit splits a stream at random offsets. The lines must come out complete, in order and unchanged, or an error must report a line
// that is too long.
func FuzzSplit(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed, []byte(openLine+"M 1 abc\r\nbare\nLOAD 7\r\n\r\nhalf a li"))
		f.Add(seed, []byte("M 1\r\n"+strings.Repeat("x", MaxLineBytes-2)+"\r\n"+strings.Repeat("y", MaxLineBytes-1)+"\r\nM 2\r\n"))
	}
	f.Fuzz(func(t *testing.T, seed uint64, stream []byte) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var s Splitter
		var got []byte
		for rest := stream; ; {
			n := min(len(rest), 1+rng.IntN(1+rng.IntN(5000)))
			s.Add(rest[:n])
			rest = rest[n:]
			for {
				l, ok, err := s.Next()
				if err != nil {
					tail := stream[len(got):]
					if end := bytes.IndexByte(tail, '\n'); end >= 0 && end < MaxLineBytes {
						t.Fatalf("a line of %d bytes was reported as too long", end+1)
					}
					return
				}
				if !ok {
					break
				}
				if len(l.Raw) > MaxLineBytes || bytes.IndexByte(l.Raw, '\n') != len(l.Raw)-1 {
					t.Fatalf("%q is not a complete line", l.Raw)
				}
				if l.Request != nil { // a decoded request must survive encoding
					if redecoded := Decode(l.Request.WithTimeout(l.Request.Timeout)); redecoded.Err != nil || redecoded.Request.Timeout != l.Request.Timeout || redecoded.Request.Key != l.Request.Key {
						t.Fatalf("%q was re-encoded as %q", l.Raw, redecoded.Raw)
					}
				}
				got = append(got, l.Raw...)
			}
			if len(rest) == 0 {
				break
			}
		}
		if !bytes.HasPrefix(stream, got) || bytes.IndexByte(stream[len(got):], '\n') >= 0 {
			t.Fatalf("the lines returned are %q, from the stream %q", got, stream)
		}
	})
}
