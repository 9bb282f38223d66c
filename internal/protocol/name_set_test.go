package protocol

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// manyFields returns a request with as many fields as fit in a line, and their number.
func manyFields(more string) (line string, fields int) {
	var text strings.Builder
	text.WriteString("OPEN 1 2 c=feed,d=900")
	for text.Len()+len(",zzz=")+len(more)+len("\r\n") < MaxLineBytes {
		fmt.Fprintf(&text, ",%X=", fields)
		fields++
	}
	return text.String() + more + "\r\n", fields
}

// TestManyShortFieldsNeedLittleMemory guards against a process that exceeds its memory when many clients send requests of very many short
// fields at once: decoding one must allocate less than its own length.
func TestManyShortFieldsNeedLittleMemory(t *testing.T) {
	const decodes = 100
	line, fields := manyFields("")
	raw := []byte(line)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range decodes {
		if decoded := Decode(raw); decoded.Err != nil {
			t.Fatal(decoded.Err)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / decodes; each > uint64(len(line)) {
		t.Errorf("decoding %d fields in %d bytes allocates %d bytes", fields, len(line), each)
	}
}

// TestDuplicateFieldsAreFound guards against a request whose field counts twice, and against one that is refused although all names differ.
func TestDuplicateFieldsAreFound(t *testing.T) {
	for more, want := range map[string]bool{"": true, ",0=1": false, ",FF=": false, ",c=feed": false, ",y=": true} {
		line, _ := manyFields(more)
		if decoded := Decode([]byte(line)); (decoded.Err == nil) != want {
			t.Errorf("with %q more: %v", more, decoded.Err)
		}
	}
	for text, want := range map[string]bool{"a=,a=": false, "a=,ab=": true, "ab=,a=": true, "a=a=,aa=": true, "ab=c,ab=d": false} {
		if decoded := Decode([]byte("OPEN 1 2 " + text + "\r\n")); (decoded.Err == nil) != want {
			t.Errorf("%s: %v", text, decoded.Err)
		}
	}
}
