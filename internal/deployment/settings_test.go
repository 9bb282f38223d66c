package deployment

import (
	"fmt"
	"testing"
	"time"
)

// TestDurationsOfAnySizeAreRead reads durations up to the largest integer, which operators use for "no limit". It guards against
// durations that overflow to a negative one, or whose sum of two would.
func TestDurationsOfAnySizeAreRead(t *testing.T) {
	for _, duration := range []string{"0", "1", "9000000000000000", "9223372036854775807"} {
		d, err := ParseSettings(fmt.Appendf(nil, `{"PeersTotal":1,"Zone":0,"RegistryMode":"pushed","ServiceGrades":[{"Name":"feed","Effect":"read_like",
			"LatencyGoalUs":%[1]s,"OuterLimitUs":%[1]s,"WindowUs":%[1]s}],"Guarantees":{"ColdFrom":1,"ColdUs":%[1]s,"FallMultiple":3,"FallUs":1},
			"Limits":{"ConnectTimeoutUs":%[1]s,"MaxRetryAfterUs":%[1]s,"MostSetupTries":1},"Specifics":{"MessageAimUs":[%[1]s]}}`, duration))
		if err != nil {
			t.Fatal(err)
		}
		class := d.Policy.Classes[0]
		for _, got := range []time.Duration{d.Deadlines[0], d.ConnectTimeout, class.SetupObjective, class.MessageObjective, class.KeyTTL, d.Policy.SlowStartWindow, d.Policy.MaxRetryAfter} {
			if got < 0 || got > maxDuration || (got == 0) != (duration == "0") {
				t.Errorf("%s microseconds were read as %v", duration, got)
			}
		}
	}
}
