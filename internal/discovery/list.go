package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sabletally/policy"
)

// maxResponseBytes bounds a response.
const maxResponseBytes = 16 << 20

// Endpoint is one line of the list.
type Endpoint struct {
	UID           string
	Address       string
	Zone          string
	FailureDomain int
	MachineType   string
	State         policy.EndpointState
	Weight        float64
	StartedAt     time.Time // zero if long ago
}

// List is one response: the complete list, or what has changed since an earlier revision.
type List struct {
	Revision  uint64
	Complete  bool
	Endpoints []Endpoint
}

// stateByName maps the states of the protocol.
var stateByName = map[string]policy.EndpointState{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Removed,
}

// listDocument is a response as discovery writes it.
type listDocument struct {
	Revision  *uint64            `json:"rev"`
	Complete  *bool              `json:"all"`
	Endpoints []endpointDocument `json:"targets"`
}

// endpointDocument is one line of a response.
type endpointDocument struct {
	UID           string   `json:"uid"`
	Address       string   `json:"endpoint"`
	Zone          string   `json:"az"`
	FailureDomain int      `json:"pod_group"`
	MachineType   string   `json:"model,omitempty"`
	State         string   `json:"state"`
	Weight        *float64 `json:"capacity_hint"`
	StartedMs     int64    `json:"boot_ms"`
}

// Encode returns a list as discovery writes it, in the order of the UIDs.
func Encode(l List) []byte {
	out := listDocument{Revision: &l.Revision, Complete: &l.Complete, Endpoints: []endpointDocument{}}
	for _, s := range l.Endpoints {
		t := endpointDocument{UID: s.UID, Address: s.Address, Zone: s.Zone, FailureDomain: s.FailureDomain, MachineType: s.MachineType, Weight: &s.Weight}
		for name, state := range stateByName {
			if state == s.State {
				t.State = name
			}
		}
		if !s.StartedAt.IsZero() {
			t.StartedMs = s.StartedAt.UnixMilli()
		}
		out.Endpoints = append(out.Endpoints, t)
	}
	slices.SortFunc(out.Endpoints, func(a, b endpointDocument) int { return strings.Compare(a.UID, b.UID) })
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // it holds plain values only
	}
	return text
}

// Decode decodes a response; one that is wrong anywhere is an error as a whole.
func Decode(text []byte) (List, error) {
	var in listDocument
	if err := json.Unmarshal(text, &in); err != nil {
		return List{}, err
	}
	if in.Revision == nil || in.Complete == nil {
		return List{}, errors.New("rev or all is missing")
	}
	l := List{Revision: *in.Revision, Complete: *in.Complete}
	for i, t := range in.Endpoints {
		s := Endpoint{UID: t.UID, Address: t.Address, Zone: t.Zone, FailureDomain: t.FailureDomain, MachineType: t.MachineType, Weight: 1}
		state, known := stateByName[t.State]
		switch {
		case t.UID == "":
			return List{}, fmt.Errorf("targets[%d].uid is missing", i)
		case !known:
			return List{}, fmt.Errorf("targets[%d].state %q is not known", i, t.State)
		case t.Address == "" && state != policy.Removed:
			return List{}, fmt.Errorf("targets[%d].endpoint is missing", i)
		}
		s.State = state
		if t.Weight != nil && *t.Weight > 0 {
			s.Weight = *t.Weight
		}
		if t.StartedMs != 0 {
			s.StartedAt = time.UnixMilli(t.StartedMs)
		}
		l.Endpoints = append(l.Endpoints, s)
	}
	return l, nil
}
