package deployment

// settingsDocument is the JSON form of the settings. Only this file maps the names in JSON to those in the code: "grades"
// are classes, "accounts" are tenants, "goals" and "aims" are latency objectives, "cold" means slow start, "fall" means
// overload. Pointers tell a key that is absent from one with the zero value.
type settingsDocument struct {
	Balancers       *int            `json:"PeersTotal"`
	Index           int             `json:"Me"`
	Zone            *int            `json:"Zone"`
	Zones           []string        `json:"Areas"`
	RegistryMode    *string         `json:"RegistryMode"`
	Weights         string          `json:"Weights"`
	OverQuotaFactor float64         `json:"ExcessUtility"`
	Classes         []classDocument `json:"ServiceGrades"`
	Tenants         []struct {
		Name string `json:"Name"`
	} `json:"Accounts"`
	Guarantees *guaranteesDocument `json:"Guarantees"`
	Limits     *limitsDocument     `json:"Limits"`
	Prices     struct {
		CrossZone float64 `json:"CrossZone"`
	} `json:"Prices"`
	Goal struct {
		NinesWeight float64 `json:"Nines"`
		TargetNines float64 `json:"NinesWanted"`
	} `json:"Goal"`
	Report struct {
		Fields []string `json:"Fields"`
		Source string   `json:"How"`
	} `json:"Report"`
	Specifics specificsDocument `json:"Specifics"`
}

type classDocument struct {
	Name             string  `json:"Name"`
	Idempotency      *string `json:"Effect"`
	KeyScope         string  `json:"Group"`
	SetupObjectiveUs int64   `json:"LatencyGoalUs"`
	DeadlineUs       int64   `json:"OuterLimitUs"`
	PriorityWeight   float64 `json:"Utility"`
	KeyTTLUs         int64   `json:"WindowUs"`
}

type guaranteesDocument struct {
	SlowStartWindowUs *int64   `json:"ColdUs"`
	OverloadWindowUs  *int64   `json:"FallUs"`
	SlowStartFloor    *float64 `json:"ColdFrom"`
	OverloadMultiple  *float64 `json:"FallMultiple"`
}

type limitsDocument struct {
	ConnectTimeoutUs int64 `json:"ConnectTimeoutUs"`
	MaxRetryAfterUs  int64 `json:"MaxRetryAfterUs"`
	MaxAttempts      *int  `json:"MostSetupTries"`
	HealthChecks     bool  `json:"Probes"`
	RetryAfter       bool  `json:"RetryAfter"`
	Gossip           bool  `json:"Peers"`
}

type specificsDocument struct {
	Groups             bool      `json:"Groups"` // not used; declared so that a value of another type is an error
	MessageObjectiveUs []float64 `json:"MessageAimUs"`
	Mode               string    `json:"Mode"`
	TenantQuotas       []float64 `json:"TenantQuotaConnections"`
}

// checkRequired returns an error for the first required key that is missing or out of range.
func (d *settingsDocument) checkRequired() error {
	guarantees, limits := d.Guarantees, d.Limits
	switch {
	case d.Balancers == nil || *d.Balancers < 1:
		return &KeyError{"PeersTotal", "is missing or below 1"}
	case d.Zone == nil:
		return &KeyError{"Zone", "is missing"}
	case d.RegistryMode == nil:
		return &KeyError{"RegistryMode", "is missing"}
	case len(d.Classes) == 0:
		return &KeyError{"ServiceGrades", "is missing or empty"}
	case guarantees == nil:
		return &KeyError{"Guarantees", "is missing"}
	case limits == nil:
		return &KeyError{"Limits", "is missing"}
	case limits.MaxAttempts == nil || *limits.MaxAttempts < 1:
		return &KeyError{"Limits.MostSetupTries", "is missing or below 1"}
	case guarantees.SlowStartFloor == nil:
		return &KeyError{"Guarantees.ColdFrom", "is missing"}
	case guarantees.SlowStartWindowUs == nil:
		return &KeyError{"Guarantees.ColdUs", "is missing"}
	case guarantees.OverloadMultiple == nil:
		return &KeyError{"Guarantees.FallMultiple", "is missing"}
	case guarantees.OverloadWindowUs == nil || *guarantees.OverloadWindowUs < 1:
		return &KeyError{"Guarantees.FallUs", "is missing or below 1"}
	}
	return nil
}

// The allowed values of keys with a fixed set of names. "" stands for an absent key.
var (
	registryModes = []string{registryPushed, registryOnRequest}
	modes         = []string{"", "proxy", "pass"}
	weights       = []string{"", "none", weightsNominal, "rough", "live"}
	reportSources = []string{"", "none", reportsByProbe, reportsInAnswers}
)

const (
	registryPushed    = "pushed"
	registryOnRequest = "on_request"
	weightsNominal    = "nominal"
	reportsByProbe    = "probe"
	reportsInAnswers  = "answers"
)

// checkNames returns an error for the first key whose value is not one of its allowed names, or for negative nines.
func (d *settingsDocument) checkNames() error {
	if err := checkName("RegistryMode", *d.RegistryMode, registryModes); err != nil {
		return err
	}
	if err := checkName("Specifics.Mode", d.Specifics.Mode, modes); err != nil {
		return err
	}
	if d.Goal.NinesWeight < 0 || d.Goal.TargetNines < 0 {
		return &KeyError{"Goal.Nines or Goal.NinesWanted", "is below 0"}
	}
	if err := checkName("Weights", d.Weights, weights); err != nil {
		return err
	}
	return checkName("Report.How", d.Report.Source, reportSources)
}
