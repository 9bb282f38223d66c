package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"testing"
	"time"
)

const testSettings = `{"PeersTotal": 1, "Zone": 0, "RegistryMode": "pushed", "NotKnown": {"x": 1},
 "ServiceGrades": [{"Effect": "read_like", "Group": "all", "LatencyGoalUs": 300000, "Utility": 1.0}],
 "Guarantees": {"AnswerSlackUs": 8000, "ColdFrom": 0.16, "ColdUs": 23000000, "DrainGraceUs": 750000,
  "FallMultiple": 3.0, "FallUs": 1500000},
 "Limits": {"MostSetupTries": 3, "MaxRetryAfterUs": 1000000, "RetryAfter": true}}`

// frame encodes a frame of event records, given in hexadecimal and padded with zeros, and a tail.
func frame(clock uint64, tail []byte, records ...string) []byte {
	var b []byte
	for _, r := range records {
		record, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			panic(err)
		}
		b = append(b, append(record, make([]byte, eventSize-len(record))...)...)
	}
	header := binary.LittleEndian.AppendUint64(nil, clock)
	header = binary.LittleEndian.AppendUint32(header, uint32(headerSize+len(b)+len(tail)))
	header = binary.LittleEndian.AppendUint32(header, uint32(len(records)))
	return append(append(header, b...), tail...)
}

// u32 encodes an integer as little-endian hexadecimal digits.
func u32(n int) string { return hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, uint32(n))) }

// openFrame returns a frame that opens instance 3 with the given settings and a list of two endpoints.
func openFrame(settings string) []byte {
	entries, err := hex.DecodeString("0a124a075b1b000000000000000000803f0000000000000000" +
		"0a9011f2841b010000000000000000c03f20145d0000000000")
	if err != nil {
		panic(err)
	}
	return frame(1_000_000, append([]byte(settings), entries...),
		"0a 03000000 0700000000000000 00000000"+u32(len(settings)),
		"02 03000000 01 2900000000000000"+u32(len(settings))+"02000000")
}

// serve has Serve process some input and returns its output.
func serve(in []byte) ([]byte, error) {
	var out bytes.Buffer
	err := Serve(bufio.NewReader(bytes.NewReader(in)), bufio.NewWriter(&out))
	return out.Bytes(), err
}

// TestEmptyFrameIsAnsweredAsDocumented guards the byte order and layout of the headers.
func TestEmptyFrameIsAnsweredAsDocumented(t *testing.T) {
	in, _ := hex.DecodeString("5a5c8000000000001000000000000000")
	out, err := serve(in)
	if got := hex.EncodeToString(out); err != nil || got != "0800000000000000" {
		t.Fatalf("reply %s, error %v", got, err)
	}
}

// sessionEvent is the record of a new session of instance 3.
const sessionEvent = "0b 03000000 c4913a5d24e80400 00000000 0000 01 640ad2557c3bf091 e02e0000 107cf3d901648e2b 80a90300"

// TestSessionIsAttempted guards the layout of an attempt's record: session, endpoint and timeout.
func TestSessionIsAttempted(t *testing.T) {
	out, err := serve(append(openFrame(testSettings), frame(1_100_000, nil, sessionEvent)...))
	if err != nil {
		t.Fatal(err)
	}
	second := out[binary.LittleEndian.Uint32(out):]
	record := second[replyHeaderSize : replyHeaderSize+actionSize]
	timeout := time.Duration(binary.LittleEndian.Uint32(record[19:])) * time.Microsecond
	prefix := hex.EncodeToString(record[:13])
	endpoint := hex.EncodeToString(record[13:19])
	if prefix != "0003000000c4913a5d24e80400" || endpoint != "0a124a075b1b" && endpoint != "0a9011f2841b" ||
		timeout <= 0 || timeout > 240*time.Millisecond {
		t.Fatalf("unexpected action record %x", record)
	}
}

// TestEventsOfAllCodesAreApplied guards against an event code that Serve rejects.
func TestEventsOfAllCodesAreApplied(t *testing.T) {
	in := append(openFrame(testSettings), frame(1_100_000, nil, sessionEvent)...)
	in = append(in, frame(1_200_000, []byte{1, 2},
		"08 03000000 c4913a5d24e80400 10270000 0a124a07 5b1b 00",
		"03 03000000 c4913a5d24e80400 0a124a07 5b1b 00 01 0000c842",
		"04 03000000 c4913a5d24e80400 0a124a07 5b1b 00 01 44480000 c800 00",
		"05 03000000 0a124a07 5b1b c800 44480000 00",
		"06 03000000 01000000 00000000 02000000",
		"07 03000000 4d000000",
		"00 03000000 192b6f0ee7500c00",
		"09 03000000 0100000000000000 00000000 0100000000000000 0000000000000000 0a124a07 5b1b 80a90300")...)
	in = append(in, frame(1_300_000, nil, "01 03000000")...)
	if _, err := serve(in); err != nil {
		t.Fatal(err)
	}
}

// TestMalformedFramesAreNamedAndGetNoReply guards against a malformed frame that gets a reply or an error without the field and its
// byte offset.
func TestMalformedFramesAreNamedAndGetNoReply(t *testing.T) {
	valid := openFrame(testSettings)
	short := frame(1, nil, sessionEvent)
	binary.LittleEndian.PutUint32(short[8:], 20)
	huge := frame(1, nil)
	binary.LittleEndian.PutUint32(huge[8:], 0xffffffff)
	binary.LittleEndian.PutUint32(huge[12:], 3)
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"half a header":   {valid[:7], "byte 7"},
		"half a frame":    {valid[:100], "byte 100"},
		"wrong length":    {short, "byte 8"},
		"huge length":     {huge, "cut short at byte 16"},
		"unknown code":    {frame(1, nil, "3f 03000000"), "record code at byte 16"},
		"not open":        {frame(1, nil, sessionEvent), "instance 3, which is not open"},
		"text outside":    {frame(1, nil, "0a 03000000 0700000000000000 04000000 ffffff7f"), "BootInfo at byte 29"},
		"entries outside": {append(openFrame(testSettings), frame(2_000_000, nil, "02 03000000 03 2900000000000000 00000000 ffffffff")...), "Items at byte 30"},
		"unknown result":  {append(openFrame(testSettings), frame(2_000_000, nil, "05 03000000 0a124a07 5b1b 0700")...), "Verdict at byte 27"},
		"many values":     {append(openFrame(testSettings), frame(2_000_000, nil, "05 03000000 0a124a07 5b1b c800 00000000 09")...), "Usage at byte 33"},
		"unknown mode":    {append(openFrame(testSettings), frame(2_000_000, nil, "02 03000000 07")...), "Mode at byte 21"},
	} {
		out, err := serve(c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: unexpected error %v", name, err)
		}
		replies := 0
		for rest := out; len(rest) > 0; rest = rest[binary.LittleEndian.Uint32(rest):] {
			replies++
		}
		if replies > 1 {
			t.Errorf("%s: %d replies, want 1 at most", name, replies)
		}
	}
}

// TestSettingsErrorsNameKey guards against invalid settings that end the process, or an instance without a message that names the key.
func TestSettingsErrorsNameKey(t *testing.T) {
	for _, c := range [][3]string{
		{"", "", "BootInfo"},
		{`"read_like"`, `"sometimes"`, "ServiceGrades[0].Effect"},
		{`"read_like", "Group": "all"`, `"idempotency_key", "Group": "street"`, "ServiceGrades[0].Group"},
		{`"pushed"`, `"shouted"`, "RegistryMode"},
		{`"PeersTotal": 1`, `"Weights": "heavy", "PeersTotal": 1`, "Weights"},
		{`"ColdUs"`, `"ColtUs"`, "Guarantees.ColdUs"},
		{`"FallUs": 1500000`, `"FallUs": 0`, "Guarantees.FallUs"},
		{`"PeersTotal": 1, `, ``, "PeersTotal"},
		{`"PeersTotal": 1`, `"PeersTotal": 0`, "PeersTotal"},
		{`"PeersTotal": 1`, `"PeersTotal": -7`, "PeersTotal"},
		{`"MostSetupTries"`, `"Most"`, "Limits.MostSetupTries"},
		{`"Zone": 0`, `"Specifics": {"Mode": "odd"}, "Zone": 0`, "Specifics.Mode"},
	} {
		info := strings.Replace(testSettings, c[0], c[1], 1)
		if c[0] == "" {
			info = "not json"
		}
		out, err := serve(openFrame(info))
		if err != nil || len(out) < replyHeaderSize+actionSize || out[replyHeaderSize] != actionFailInstance ||
			!strings.Contains(string(out[replyHeaderSize+actionSize:]), c[2]) {
			t.Errorf("key %s: output %q, error %v", c[2], out, err)
		}
	}
}

// TestHugeNumberOfBalancersWorks guards against allocation or overflow by the number of balancers in the settings.
func TestHugeNumberOfBalancersWorks(t *testing.T) {
	info := strings.Replace(testSettings, `"PeersTotal": 1`, `"PeersTotal": 4000000000000000000`, 1)
	out, err := serve(append(openFrame(info), frame(1_100_000, nil, sessionEvent)...))
	if err != nil || bytes.Contains(out, []byte("BootInfo")) {
		t.Fatalf("output %q, error %v", out, err)
	}
}

// TestThousandsOfInstancesOpenAndClose guards against instances that stay in memory after they are closed.
func TestThousandsOfInstancesOpenAndClose(t *testing.T) {
	h := newHost()
	for n := range 3000 {
		in := openFrame(testSettings)
		for _, offset := range []int{headerSize, headerSize + eventSize} {
			binary.LittleEndian.PutUint32(in[offset+1:], uint32(n))
		}
		if err := h.handle(in); err != nil {
			t.Fatal(err)
		}
	}
	for n := range 3000 {
		if err := h.handle(frame(2_000_000, nil, "01"+u32(n*7%3000))); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.instances) != 0 || len(h.touched) != 0 {
		t.Fatalf("%d instances and %d touched instances remain", len(h.instances), len(h.touched))
	}
}

// FuzzFrames guards against damaged frames that cause a panic or an incomplete reply.
func FuzzFrames(f *testing.F) {
	valid := append(openFrame(testSettings), frame(1_100_000, nil, sessionEvent)...)
	for at := 0; at < len(valid); at += 3 {
		b := bytes.Clone(valid)
		b[at] ^= 0x41
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		out, err := serve(in)
		for len(out) > 0 {
			n := int(binary.LittleEndian.Uint32(out))
			if n < replyHeaderSize || n > len(out) {
				t.Fatalf("reply length is %d, with %d bytes of output left; error %v", n, len(out), err)
			}
			out = out[n:]
		}
	})
}
