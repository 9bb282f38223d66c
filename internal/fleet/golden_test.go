package fleet

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"sabletally/internal/fleet/config"
)

var updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")

// fillFields sets every field of a value to a value of its own that is not the zero value.
func fillFields(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(string(rune('a'+*next%26)) + string(rune('a'+*next/26)))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(t, v.Index(0), next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillFields(t, key, next)
		fillFields(t, value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(t, v.Field(i), next)
		}
	default:
		t.Fatalf("no value for a %v", v.Type())
	}
}

// requireGolden checks that the JSON of a value equals a golden file, and that decoding and encoding that again yields the same bytes.
func requireGolden(t *testing.T, name string, value any) {
	t.Helper()
	path := filepath.Join("testdata", name)
	got, err := json.MarshalIndent(value, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if *updateGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Fatalf("%s differs:\n got %s\nwant %s", path, got, want)
	}
	decoded := reflect.New(reflect.TypeOf(value))
	if err := json.Unmarshal(want, decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(decoded.Interface(), "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(want) {
		t.Errorf("%s is decoded and encoded as\n%s", path, again)
	}
}

// TestGoldenReport guards against changes of the JSON report, which operators' tools read: a report with every field set must equal the golden
// file.
func TestGoldenReport(t *testing.T) {
	var report Report
	next := 0
	fillFields(t, reflect.ValueOf(&report).Elem(), &next)
	requireGolden(t, "report.golden.json", report)
}

// TestGoldenRecords guards against changes of the keys and values of the records that are stored for balancers.
func TestGoldenRecords(t *testing.T) {
	requireGolden(t, "admin_state.golden.json", AdminState{OutOfService: true, SetAt: 1700000000, SetBy: "id-1"})
	requireGolden(t, "endpoint_list.golden.json", EndpointList{Revision: 7, ConfirmedAt: 1700000000, Endpoints: json.RawMessage(`{"servers":["a","b"]}`)})
	f := &Fleet{config: &config.File{Site: "site-1"}}
	requireGolden(t, "keys.golden.json", []string{adminStateKey("b-1"), f.endpointListKey()})
}
