package main

import (
	"encoding/json"
	"testing"

	"sabletally/internal/lab/scale"
)

// TestHashValuesDetectsWrongValues guards against wrong values that the final comparison of a scale test would miss: a missing value, the
// value of another change and a truncated value must each change the hash.
func TestHashValuesDetectsWrongValues(t *testing.T) {
	values := map[string][]byte{settingKey(0): settingValue(3, scale.Change{Due: 5, Bytes: 100}), settingKey(1): settingValue(4, scale.Change{Due: 6, Bytes: 300})}
	get := func(key string) ([]byte, bool) {
		value, exists := values[key]
		return value, exists
	}
	complete := hashValues(get)
	if len(values[settingKey(0)]) != 100 || len(values[settingKey(1)]) != 300 || !json.Valid(values[settingKey(1)]) || complete != hashValues(get) {
		t.Fatal(values)
	}
	original := values[settingKey(1)]
	for _, other := range [][]byte{nil, original[:299], values[settingKey(0)], settingValue(5, scale.Change{Due: 6, Bytes: 300})} {
		if values[settingKey(1)] = other; hashValues(get) == complete {
			t.Errorf("%q has the same hash as %q", other, original)
		}
	}
	if delete(values, settingKey(1)); hashValues(get) == complete {
		t.Error("a missing value does not change the hash")
	}
}
