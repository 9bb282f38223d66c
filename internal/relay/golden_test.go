package relay

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestAPairKeepsItsWireForm compares a pair on its way to another process with the bytes that earlier releases send.
func TestAPairKeepsItsWireForm(t *testing.T) {
	golden, err := os.ReadFile("testdata/pair.json")
	if err != nil {
		t.Fatal(err)
	}
	golden = bytes.TrimSuffix(golden, []byte("\n"))
	want := Passed{
		Client:   End{Held: []byte("half a line"), Out: []byte("waits\r\n")},
		Server:   End{Held: []byte{0, 255}, Out: []byte("more\r\n")},
		Byed:     true,
		Moved:    true,
		AskedAgo: 1234567 * time.Nanosecond,
		HeardAgo: time.Minute,
	}
	encoded, err := json.Marshal(want)
	if err != nil || !bytes.Equal(encoded, golden) {
		t.Errorf("encodes to\n%s, not\n%s (%v)", encoded, golden, err)
	}
	var decoded Passed
	decoder := json.NewDecoder(strings.NewReader(string(golden)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("decodes to %+v, not %+v", decoded, want)
	}
	if again, err := json.Marshal(decoded); err != nil || !bytes.Equal(again, golden) {
		t.Errorf("encodes again to %s (%v)", again, err)
	}
}
