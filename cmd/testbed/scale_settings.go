package main

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sabletally/internal/lab/scale"
)

// settingKey is the key of a change.
func settingKey(key int) string { return fmt.Sprintf("config/scale-%02d", key) }

// settingValue is the value of a change, padded to the change's size.
func settingValue(change int, c scale.Change) []byte {
	head := fmt.Appendf(nil, `{"change":%d,"due":%d,"rest":"`, change, c.Due)
	const tail = `"}`
	padding := slices.Repeat([]byte{'x'}, max(0, c.Bytes-len(head)-len(tail)))
	return append(append(head, padding...), tail...)
}

// hashValues hashes the values of all settings, as get returns them.
func hashValues(get func(key string) ([]byte, bool)) uint64 {
	h := xxhash.New()
	for k := range scale.Keys {
		value, exists := get(settingKey(k))
		_, _ = fmt.Fprintf(h, "%d %v %d ", k, exists, len(value)) // a hash never fails
		_, _ = h.Write(value)
	}
	return h.Sum64()
}
