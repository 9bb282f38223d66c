// Package deployment reads the configuration of a balancer: the settings, which the simulator and balancers on network
// sockets share, and the node file of a balancer on sockets. It maps the names in these files to those in the code. It
// makes no decisions and fills in no defaults for required values: a missing required key is an error that names the key.
package deployment

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sabletally/policy"
)

// Settings are the settings of a deployment.
type Settings struct {
	Policy           *policy.Config
	ReportFields     []string        // names of the fields of a load report, in order
	Classes          map[string]int  // index into Policy.Classes by class name
	Tenants          map[string]int  // index into Policy.Tenants by tenant name
	Zones            map[string]int  // zone number by zone name
	Deadlines        []time.Duration // deadline of a session by class index, 0 if there is none
	PollEndpointList bool            // whether the endpoint list has to be polled, because it is not pushed
	ConnectTimeout   time.Duration   // timeout of connecting to an endpoint, 0 if there is none
}

// KeyError reports a key of a configuration that is missing or has an invalid value.
type KeyError struct {
	Key     string // path of the key, as written in the configuration
	Problem string // predicate of the message, such as "is missing"
}

func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

const (
	maxDuration  = 10 * 365 * 24 * time.Hour // longer durations are capped, so that the sum of two cannot overflow
	maxBalancers = 1 << 20                   // larger numbers of balancers are capped
)

// ParseSettings parses settings in JSON. A missing or invalid key is a *KeyError; malformed JSON is an error of package json.
func ParseSettings(text []byte) (*Settings, error) {
	var document settingsDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	if err := document.checkRequired(); err != nil {
		return nil, err
	}
	if err := document.checkNames(); err != nil {
		return nil, err
	}
	settings := &Settings{
		Policy:           document.policyConfig(),
		ReportFields:     document.Report.Fields,
		Classes:          map[string]int{},
		Tenants:          map[string]int{},
		Zones:            map[string]int{},
		PollEndpointList: *document.RegistryMode == registryOnRequest,
		ConnectTimeout:   microseconds(document.Limits.ConnectTimeoutUs),
	}
	if err := settings.addClasses(&document); err != nil {
		return nil, err
	}
	settings.addTenants(&document)
	for zone, name := range document.Zones {
		settings.Zones[name] = zone
	}
	return settings, nil
}

// policyConfig returns the policy's configuration without classes and tenants.
func (d *settingsDocument) policyConfig() *policy.Config {
	hasEndpointReports := d.Report.Source == reportsByProbe || d.Report.Source == reportsInAnswers
	return &policy.Config{
		Balancers:          min(*d.Balancers, maxBalancers),
		Index:              d.Index,
		Zone:               *d.Zone,
		OverQuotaFactor:    d.OverQuotaFactor,
		CanHealthCheck:     d.Limits.HealthChecks,
		CanGossip:          d.Limits.Gossip,
		HasExactWeights:    d.Weights == weightsNominal,
		CanSendRetryAfter:  d.Limits.RetryAfter,
		MaxRetryAfter:      microseconds(d.Limits.MaxRetryAfterUs),
		MaxAttempts:        *d.Limits.MaxAttempts,
		OverloadMultiple:   *d.Guarantees.OverloadMultiple,
		OverloadWindow:     microseconds(*d.Guarantees.OverloadWindowUs),
		SlowStartFloor:     *d.Guarantees.SlowStartFloor,
		SlowStartWindow:    microseconds(*d.Guarantees.SlowStartWindowUs),
		CrossZoneCost:      d.Prices.CrossZone,
		NinesWeight:        d.Goal.NinesWeight,
		TargetNines:        d.Goal.TargetNines,
		HasLoadReports:     hasEndpointReports, // hosts that estimate the endpoints' load set it as well
		HasEndpointReports: hasEndpointReports,
	}
}

// addClasses adds the classes and their deadlines.
func (s *Settings) addClasses(document *settingsDocument) error {
	for i, entry := range document.Classes {
		class := policy.Class{
			KeyTTL:         microseconds(entry.KeyTTLUs),
			SetupObjective: microseconds(entry.SetupObjectiveUs),
			PriorityWeight: entry.PriorityWeight,
		}
		if err := entry.setIdempotency(&class, i); err != nil {
			return err
		}
		if objectives := document.Specifics.MessageObjectiveUs; i < len(objectives) {
			class.MessageObjective = microseconds(int64(min(objectives[i], float64(maxDuration/time.Microsecond))))
		}
		s.Policy.Classes = append(s.Policy.Classes, class)
		s.Deadlines = append(s.Deadlines, microseconds(entry.DeadlineUs))
		s.Classes[entry.Name] = i
	}
	return nil
}

// idempotencies and keyScopes map the names in the settings to policy's values.
var (
	idempotencies = map[string]policy.Idempotency{
		"read_like":       policy.Idempotent,
		"idempotency_key": policy.IdempotentWithKey,
		"non_idempotent":  policy.NonIdempotent,
	}
	keyScopes = map[string]policy.KeyScope{
		"all":  policy.KeyScopeAll,
		"zone": policy.KeyScopeZone,
		"cell": policy.KeyScopeFailureDomain,
	}
)

// setIdempotency sets the idempotency and the key scope of a class; index is its index in the settings, for errors.
func (entry *classDocument) setIdempotency(class *policy.Class, index int) error {
	if entry.Idempotency == nil {
		return &KeyError{fmt.Sprintf("ServiceGrades[%d].Effect", index), "is missing"}
	}
	idempotency, isKnown := idempotencies[*entry.Idempotency]
	if !isKnown {
		return unknownName(fmt.Sprintf("ServiceGrades[%d].Effect", index), *entry.Idempotency)
	}
	class.Idempotency = idempotency
	if idempotency != policy.IdempotentWithKey {
		return nil // only idempotency keys have a scope
	}
	scope, isKnown := keyScopes[entry.KeyScope]
	if !isKnown {
		return unknownName(fmt.Sprintf("ServiceGrades[%d].Group", index), entry.KeyScope)
	}
	class.KeyScope = scope
	return nil
}

// addTenants adds the tenants and their connection quotas.
func (s *Settings) addTenants(document *settingsDocument) {
	for i, entry := range document.Tenants {
		var tenant policy.Tenant
		if quotas := document.Specifics.TenantQuotas; i < len(quotas) {
			tenant.ConnectionQuota = quotas[i]
		}
		s.Policy.Tenants = append(s.Policy.Tenants, tenant)
		s.Tenants[entry.Name] = i
	}
}

// microseconds converts a number of microseconds in the settings to a duration of at most maxDuration.
func microseconds(n int64) time.Duration {
	return time.Duration(min(n, int64(maxDuration/time.Microsecond))) * time.Microsecond
}

// checkName returns an error if a key's value is not one of the known names.
func checkName(key, name string, known []string) error {
	if slices.Contains(known, name) {
		return nil
	}
	return unknownName(key, name)
}

func unknownName(key, name string) error {
	return &KeyError{key, fmt.Sprintf("%q is not known", name)}
}
