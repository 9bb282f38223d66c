package sitefile

import (
	"bytes"
	"strings"
	"testing"
)

const base = `name = "site"
stock = "another"

[load]
quiet = [0.1, 0.2]

[rules]
fall_multiple = 3
fall_ms = 3000

[[tier.kind]]
speed = [1.5, 2]
cold_from = [0.1, 0.3]
cold_s = [10, 20]

[[tier.kind]]
speed = [0.7, 1]
cold_from = [0.1, 0.3]
cold_s = [10, 20]

[fam]
per_core = [16, 45]
life_s = [28, 230]
`

// draw returns the site file of a drawn deployment.
func draw(t *testing.T, seed uint64, size Size) string {
	t.Helper()
	d, err := DrawDeployment(seed, size)
	if err != nil {
		t.Fatal(err)
	}
	drawn, err := d.Apply([]byte(base))
	if err != nil {
		t.Fatal(err)
	}
	return string(drawn)
}

// TestASeedDrawsOneDeployment checks that a seed gives one site file and another seed another one, and that values that are not drawn stay.
func TestASeedDrawsOneDeployment(t *testing.T) {
	first := draw(t, 7, SmallSize)
	if first != draw(t, 7, SmallSize) {
		t.Error("the same seed drew two different site files")
	}
	if first == draw(t, 8, SmallSize) {
		t.Error("two seeds drew the same site file")
	}
	if strings.Contains(first, "stock") {
		t.Error("the key stock, which refers to another site, was kept")
	}
	if !strings.Contains(first, "life_s = [28, 230]") {
		t.Error("a figure that is not drawn was changed")
	}
	if bytes.Count([]byte(first), []byte("speed = ")) != 2 {
		t.Errorf("want two machine types with a speed, got:\n%s", first)
	}
}

// TestABadSizeOrFileIsRefused checks that the error names the unknown size, or the value that the site file lacks.
func TestABadSizeOrFileIsRefused(t *testing.T) {
	if _, err := DrawDeployment(1, "huge"); err == nil || !strings.Contains(err.Error(), `"huge"`) {
		t.Errorf("got error %v, want one that names the size", err)
	}
	d, err := DrawDeployment(1, AnySize)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Apply([]byte("name = \"x\"\n")); err == nil || !strings.Contains(err.Error(), "per_core") {
		t.Errorf("got error %v for a site file without per_core, want one that names the key", err)
	}
}
