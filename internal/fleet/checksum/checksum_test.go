package checksum

import "testing"

// TestSumIsCRC32C holds the check value of the polynomial's specification.
func TestSumIsCRC32C(t *testing.T) {
	if got := Sum([]byte("123456789")); got != 0xe3069283 {
		t.Errorf("%08x", got)
	}
}
