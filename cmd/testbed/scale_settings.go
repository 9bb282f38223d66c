package main

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sabletally/internal/lab/scale"
)

// settingKey returns the key of the setting with the given number.
func settingKey(key int) string { return fmt.Sprintf("config/scale-%02d", key) }

// settingValue returns the value that a change sets: JSON, unique to the change and padded to its size.
func settingValue(change int, c scale.Change) []byte {
	head := fmt.Appendf(nil, `{"change":%d,"due":%d,"rest":"`, change, c.Due)
	const tail = `"}`
	padding := slices.Repeat([]byte{'x'}, max(0, c.Bytes-len(head)-len(tail)))
	return append(append(head, padding...), tail...)
}

// hashValues returns a hash over the values of all settings, which get looks up by key, and over which of them exist.
func hashValues(get func(key string) ([]byte, bool)) uint64 {
	h := xxhash.New()
	for k := range scale.Keys {
		value, exists := get(settingKey(k))
		_, _ = fmt.Fprintf(h, "%d %v %d ", k, exists, len(value)) // Write of a hash never fails
		_, _ = h.Write(value)
	}
	return h.Sum64()
}
