package checksum

import "testing"

// TestSumIsCRC32C guards against another polynomial or parameter: 0xe3069283 is the published check value of CRC-32C.
func TestSumIsCRC32C(t *testing.T) {
	if got := Sum([]byte("123456789")); got != 0xe3069283 {
		t.Errorf("checksum %08x, want e3069283", got)
	}
}
