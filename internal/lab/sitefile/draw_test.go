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

func TestASeedDrawsOneDeployment(t *testing.T) {
	first := draw(t, 7, SmallSize)
	if first != draw(t, 7, SmallSize) {
		t.Error("the same seed draws two")
	}
	if first == draw(t, 8, SmallSize) {
		t.Error("two seeds draw the same")
	}
	if strings.Contains(first, "stock") {
		t.Error("the days are still those of another site")
	}
	if !strings.Contains(first, "life_s = [28, 230]") {
		t.Error("a figure that is not drawn was changed")
	}
	if bytes.Count([]byte(first), []byte("speed = ")) != 2 {
		t.Errorf("kinds were lost:\n%s", first)
	}
}

func TestABadSizeOrFileIsRefused(t *testing.T) {
	if _, err := DrawDeployment(1, "huge"); err == nil || !strings.Contains(err.Error(), `"huge"`) {
		t.Errorf("%v", err)
	}
	d, err := DrawDeployment(1, AnySize)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.Apply([]byte("name = \"x\"\n")); err == nil || !strings.Contains(err.Error(), "per_core") {
		t.Errorf("a file without what is drawn: %v", err)
	}
}
