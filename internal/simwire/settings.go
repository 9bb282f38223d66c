package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"sabletally/policy"
)

type settings struct {
	PeersTotal    *int
	Zone          *int
	RegistryMode  *string
	ExcessUtility float64
	ServiceGrades []struct {
		Effect        *string
		Group         string
		LatencyGoalUs int64
		OuterLimitUs  int64
		Utility       float64
		WindowUs      int64
	}
	Accounts   []json.RawMessage
	Guarantees *struct {
		AskWithinUs, ColdUs    *int64
		FallUs                 *int64
		ColdFrom, FallMultiple *float64
	}
	Limits *struct {
		MaxRetryAfterUs    int64
		MostSetupTries     *int
		Probes, RetryAfter bool
	}
	Prices struct {
		CrossZone float64
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

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// readSettings turns the first message into a Deployment; errors name the key at fault.
func readSettings(text []byte) (*policy.Deployment, []string, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, nil, fmt.Errorf("BootInfo: %v", err)
	}
	g, l := s.Guarantees, s.Limits
	switch {
	case s.PeersTotal == nil || *s.PeersTotal < 1:
		return nil, nil, fmt.Errorf("BootInfo: PeersTotal is missing or below 1")
	case s.Zone == nil:
		return nil, nil, fmt.Errorf("BootInfo: Zone is missing")
	case s.RegistryMode == nil:
		return nil, nil, fmt.Errorf("BootInfo: RegistryMode is missing")
	case len(s.ServiceGrades) == 0:
		return nil, nil, fmt.Errorf("BootInfo: ServiceGrades is missing or empty")
	case g == nil:
		return nil, nil, fmt.Errorf("BootInfo: Guarantees is missing")
	case l == nil:
		return nil, nil, fmt.Errorf("BootInfo: Limits is missing")
	case l.MostSetupTries == nil || *l.MostSetupTries < 1:
		return nil, nil, fmt.Errorf("BootInfo: Limits.MostSetupTries is missing or below 1")
	case g.ColdFrom == nil:
		return nil, nil, fmt.Errorf("BootInfo: Guarantees.ColdFrom is missing")
	case g.ColdUs == nil:
		return nil, nil, fmt.Errorf("BootInfo: Guarantees.ColdUs is missing")
	case g.FallMultiple == nil:
		return nil, nil, fmt.Errorf("BootInfo: Guarantees.FallMultiple is missing")
	case g.FallUs == nil || *g.FallUs < 1:
		return nil, nil, fmt.Errorf("BootInfo: Guarantees.FallUs is missing or below 1")
	}
	d := &policy.Deployment{
		Peers: min(*s.PeersTotal, 1<<20), Zone: *s.Zone, ExcessUtility: s.ExcessUtility,
		MayProbe: l.Probes, MayAdvise: l.RetryAfter, LongestAdvice: us(l.MaxRetryAfterUs),
		MostTries: *l.MostSetupTries, FallMultiple: *g.FallMultiple, ColdFrom: *g.ColdFrom, ColdFor: us(*g.ColdUs),
		FallFor:       us(*g.FallUs),
		CrossingPrice: s.Prices.CrossZone,
		ReportsOnAsk:  s.Report.How == "probe" || s.Report.How == "answers",
	}
	switch *s.RegistryMode {
	case "pushed":
	case "on_request":
		d.AskForList = true
		if g.AskWithinUs == nil {
			return nil, nil, fmt.Errorf("BootInfo: Guarantees.AskWithinUs is missing")
		}
		d.AskWithin = us(*g.AskWithinUs)
	default:
		return nil, nil, fmt.Errorf("BootInfo: RegistryMode %q is not known", *s.RegistryMode)
	}
	switch s.Specifics.Mode {
	case "", "proxy", "pass":
	default:
		return nil, nil, fmt.Errorf("BootInfo: Specifics.Mode %q is not known", s.Specifics.Mode)
	}
	switch s.Report.How {
	case "", "none", "probe", "answers":
	default:
		return nil, nil, fmt.Errorf("BootInfo: Report.How %q is not known", s.Report.How)
	}
	for i, sg := range s.ServiceGrades {
		row := policy.Grade{Window: us(sg.WindowUs), SetupGoal: us(sg.LatencyGoalUs), Utility: sg.Utility}
		if sg.Effect == nil {
			return nil, nil, fmt.Errorf("BootInfo: ServiceGrades[%d].Effect is missing", i)
		}
		switch *sg.Effect {
		case "read_like":
		case "idempotency_key":
			row.Effect = policy.Deduplicated
			switch sg.Group {
			case "all":
			case "zone":
				row.Scope = policy.ScopeZone
			case "cell":
				row.Scope = policy.ScopeCell
			default:
				return nil, nil, fmt.Errorf("BootInfo: ServiceGrades[%d].Group %q is not known", i, sg.Group)
			}
		case "non_idempotent":
			row.Effect = policy.Unrepeatable
		default:
			return nil, nil, fmt.Errorf("BootInfo: ServiceGrades[%d].Effect %q is not known", i, *sg.Effect)
		}
		if i < len(s.Specifics.MessageAimUs) {
			row.MessageGoal = us(int64(s.Specifics.MessageAimUs[i]))
		}
		d.Grades = append(d.Grades, row)
	}
	for i := range s.Accounts {
		var t policy.Tenant
		if i < len(s.Specifics.TenantQuotaConnections) {
			t.Connections = s.Specifics.TenantQuotaConnections[i]
		}
		d.Tenants = append(d.Tenants, t)
	}
	return d, s.Report.Fields, nil
}
