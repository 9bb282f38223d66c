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

// Guards against an incompatible change of PairState: its JSON must match the bytes that earlier releases exchange.
func TestAPairKeepsItsWireForm(t *testing.T) {
	golden, err := os.ReadFile("testdata/pair.json")
	if err != nil {
		t.Fatal(err)
	}
	golden = bytes.TrimSuffix(golden, []byte("\n"))
	want := PairState{
		Client:        ConnState{Partial: []byte("half a line"), Unwritten: []byte("waits\r\n")},
		Server:        ConnState{Partial: []byte{0, 255}, Unwritten: []byte("more\r\n")},
		Completed:     true,
		MoveRequested: true,
		RequestAge:    1234567 * time.Nanosecond,
		LastLineAge:   time.Minute,
	}
	encoded, err := json.Marshal(want)
	if err != nil || !bytes.Equal(encoded, golden) {
		t.Errorf("encodes to\n%s, want\n%s (%v)", encoded, golden, err)
	}
	var decoded PairState
	decoder := json.NewDecoder(strings.NewReader(string(golden)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("decodes to %+v, want %+v", decoded, want)
	}
	if reencoded, err := json.Marshal(decoded); err != nil || !bytes.Equal(reencoded, golden) {
		t.Errorf("re-encodes to %s (%v)", reencoded, err)
	}
}
