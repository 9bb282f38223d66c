package balancer

import (
	"os"
	"reflect"
	"sync/atomic"
	"testing"

	"go.uber.org/zap/zapcore"
)

// TestCountersKeepTheirLogKeys guards against changes to the keys and the order of the counters' log line, which operators' tools parse. It
// gives each counter a distinct value and compares the line with that of earlier releases.
func TestCountersKeepTheirLogKeys(t *testing.T) {
	golden, err := os.ReadFile("testdata/counters.json")
	if err != nil {
		t.Fatal(err)
	}
	var c Counters
	next := int64(0)
	set := func(n *atomic.Int64) {
		next++
		n.Store(next)
	}
	fields := reflect.ValueOf(&c).Elem()
	for i := range fields.NumField() {
		switch field := fields.Field(i).Addr().Interface().(type) {
		case *atomic.Int64:
			set(field)
		default:
			all := reflect.ValueOf(field).Elem()
			for j := range all.Len() {
				set(all.Index(j).Addr().Interface().(*atomic.Int64))
			}
		}
	}
	line, err := zapcore.NewJSONEncoder(zapcore.EncoderConfig{}).EncodeEntry(zapcore.Entry{}, c.fields())
	if err != nil {
		t.Fatal(err)
	}
	if line.String() != string(golden) {
		t.Errorf("counters are logged as\n%s, want\n%s", line, golden)
	}
}
