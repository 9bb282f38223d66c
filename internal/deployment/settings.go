// Package deployment turns what a balancer is told at its start into values of this project. It owns the names
// of the settings, which are the same on the simulator's wire and on sockets, and is shared by both programs.
// It must never decide anything or fill in a figure that the settings owe: a key that is missing is an error
// that names the key.
package deployment

import (
	"encoding/json"
	"fmt"
	"time"

	"sabletally/policy"
)

// Settings is what the settings say: what the decisions go by, and the names and limits of the sockets.
type Settings struct {
	Policy           *policy.Config
	ReportFields     []string        // what a load report holds, in order
	Classes          map[string]int  // service grades by name
	Tenants          map[string]int  // by name
	Zones            map[string]int  // by name
	Deadlines        []time.Duration // by grade, 0 where none is told
	PollEndpointList bool            // the list of servers comes only when asked for
	ConnectTimeout   time.Duration   // a connection that is not up by then has failed; 0 where none is told
}

type settingsDocument struct {
	PeersTotal    *int
	Me            int
	Zone          *int
	Areas         []string
	RegistryMode  *string
	Weights       string
	ExcessUtility float64
	ServiceGrades []struct {
		Name          string
		Effect        *string
		Group         string
		LatencyGoalUs int64
		OuterLimitUs  int64
		Utility       float64
		WindowUs      int64
	}
	Accounts   []struct{ Name string }
	Guarantees *struct {
		ColdUs, FallUs         *int64
		ColdFrom, FallMultiple *float64
	}
	Limits *struct {
		ConnectTimeoutUs   int64
		MaxRetryAfterUs    int64
		MostSetupTries     *int
		Probes, RetryAfter bool
		Peers              bool
	}
	Prices struct {
		CrossZone float64
	}
	Goal struct {
		Nines, NinesWanted float64
	}
	Report struct {
		Fields []string
		How    string
	}
	Specifics struct {
		Groups                 bool
		MessageAimUs           []float64
		Mode                   string
		TenantQuotaConnections []float64
	}
}

// longest is more than any span that settings mean, and far from where a sum of two overflows.
const longest = 10 * 365 * 24 * time.Hour

func us(n int64) time.Duration {
	return time.Duration(min(n, int64(longest/time.Microsecond))) * time.Microsecond
}

// ParseSettings turns the settings into a Deployment; errors name the key at fault.
func ParseSettings(text []byte) (*Settings, error) {
	var s settingsDocument
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	g, l := s.Guarantees, s.Limits
	switch {
	case s.PeersTotal == nil || *s.PeersTotal < 1:
		return nil, fmt.Errorf("PeersTotal is missing or below 1")
	case s.Zone == nil:
		return nil, fmt.Errorf("Zone is missing")
	case s.RegistryMode == nil:
		return nil, fmt.Errorf("RegistryMode is missing")
	case len(s.ServiceGrades) == 0:
		return nil, fmt.Errorf("ServiceGrades is missing or empty")
	case g == nil:
		return nil, fmt.Errorf("Guarantees is missing")
	case l == nil:
		return nil, fmt.Errorf("Limits is missing")
	case l.MostSetupTries == nil || *l.MostSetupTries < 1:
		return nil, fmt.Errorf("Limits.MostSetupTries is missing or below 1")
	case g.ColdFrom == nil:
		return nil, fmt.Errorf("Guarantees.ColdFrom is missing")
	case g.ColdUs == nil:
		return nil, fmt.Errorf("Guarantees.ColdUs is missing")
	case g.FallMultiple == nil:
		return nil, fmt.Errorf("Guarantees.FallMultiple is missing")
	case g.FallUs == nil || *g.FallUs < 1:
		return nil, fmt.Errorf("Guarantees.FallUs is missing or below 1")
	}
	p := &policy.Config{
		Balancers: min(*s.PeersTotal, 1<<20), Index: s.Me, Zone: *s.Zone, OverQuotaFactor: s.ExcessUtility,
		CanHealthCheck: l.Probes, CanGossip: l.Peers, HasExactWeights: s.Weights == "nominal", CanSendRetryAfter: l.RetryAfter, MaxRetryAfter: us(l.MaxRetryAfterUs),
		MaxAttempts: *l.MostSetupTries, OverloadMultiple: *g.FallMultiple, SlowStartFloor: *g.ColdFrom, SlowStartWindow: us(*g.ColdUs),
		OverloadWindow:     us(*g.FallUs),
		CrossZoneCost:      s.Prices.CrossZone,
		HasEndpointReports: s.Report.How == "probe" || s.Report.How == "answers",
	}
	p.HasLoadReports = p.HasEndpointReports // which the program widens to its own guesses
	d := &Settings{
		Policy: p, ReportFields: s.Report.Fields, ConnectTimeout: us(l.ConnectTimeoutUs),
		Classes: map[string]int{}, Tenants: map[string]int{}, Zones: map[string]int{},
	}
	switch *s.RegistryMode {
	case "pushed":
	case "on_request":
		d.PollEndpointList = true
	default:
		return nil, fmt.Errorf("RegistryMode %q is not known", *s.RegistryMode)
	}
	switch s.Specifics.Mode {
	case "", "proxy", "pass":
	default:
		return nil, fmt.Errorf("Specifics.Mode %q is not known", s.Specifics.Mode)
	}
	if p.NinesWeight, p.TargetNines = s.Goal.Nines, s.Goal.NinesWanted; p.NinesWeight < 0 || p.TargetNines < 0 {
		return nil, fmt.Errorf("Goal.Nines or Goal.NinesWanted is below 0")
	}
	switch s.Weights {
	case "", "none", "nominal", "rough", "live":
	default:
		return nil, fmt.Errorf("Weights %q is not known", s.Weights)
	}
	switch s.Report.How {
	case "", "none", "probe", "answers":
	default:
		return nil, fmt.Errorf("Report.How %q is not known", s.Report.How)
	}
	for i, sg := range s.ServiceGrades {
		row := policy.Class{KeyTTL: us(sg.WindowUs), SetupObjective: us(sg.LatencyGoalUs), PriorityWeight: sg.Utility}
		if sg.Effect == nil {
			return nil, fmt.Errorf("ServiceGrades[%d].Effect is missing", i)
		}
		switch *sg.Effect {
		case "read_like":
		case "idempotency_key":
			row.Idempotency = policy.IdempotentWithKey
			switch sg.Group {
			case "all":
			case "zone":
				row.KeyScope = policy.KeyScopeZone
			case "cell":
				row.KeyScope = policy.KeyScopeFailureDomain
			default:
				return nil, fmt.Errorf("ServiceGrades[%d].Group %q is not known", i, sg.Group)
			}
		case "non_idempotent":
			row.Idempotency = policy.NonIdempotent
		default:
			return nil, fmt.Errorf("ServiceGrades[%d].Effect %q is not known", i, *sg.Effect)
		}
		if i < len(s.Specifics.MessageAimUs) {
			row.MessageObjective = us(int64(min(s.Specifics.MessageAimUs[i], float64(longest/time.Microsecond))))
		}
		p.Classes = append(p.Classes, row)
		d.Deadlines = append(d.Deadlines, us(sg.OuterLimitUs))
		d.Classes[sg.Name] = i
	}
	for i, a := range s.Accounts {
		var t policy.Tenant
		if i < len(s.Specifics.TenantQuotaConnections) {
			t.ConnectionQuota = s.Specifics.TenantQuotaConnections[i]
		}
		p.Tenants = append(p.Tenants, t)
		d.Tenants[a.Name] = i
	}
	for i, z := range s.Areas {
		d.Zones[z] = i
	}
	return d, nil
}
