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

// maxResponseBytes limits how much of a response is read.
const maxResponseBytes = 16 << 20

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	UID           string
	Address       string
	Zone          string
	FailureDomain int
	MachineType   string
	State         policy.EndpointState
	Weight        float64
	StartedAt     time.Time // start of its process; zero means long ago
}

// List is the content of one response: the complete list, or the entries that changed since an earlier revision.
type List struct {
	Revision  uint64
	Complete  bool // Endpoints holds all endpoints, not only those that changed
	Endpoints []Endpoint
}

// stateByName maps the names of states in responses to states.
var stateByName = map[string]policy.EndpointState{
	"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Removed,
}

// listDocument is the JSON form of a response.
type listDocument struct {
	Revision  *uint64            `json:"rev"`
	Complete  *bool              `json:"all"`
	Endpoints []endpointDocument `json:"targets"`
}

// endpointDocument is the JSON form of one entry of a response.
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

// Encode encodes a list in the form of a response, sorted by UID.
func Encode(l List) []byte {
	out := listDocument{Revision: &l.Revision, Complete: &l.Complete, Endpoints: []endpointDocument{}}
	for _, endpoint := range l.Endpoints {
		document := endpointDocument{
			UID:           endpoint.UID,
			Address:       endpoint.Address,
			Zone:          endpoint.Zone,
			FailureDomain: endpoint.FailureDomain,
			MachineType:   endpoint.MachineType,
			Weight:        &endpoint.Weight,
		}
		for name, state := range stateByName {
			if state == endpoint.State {
				document.State = name
			}
		}
		if !endpoint.StartedAt.IsZero() {
			document.StartedMs = endpoint.StartedAt.UnixMilli()
		}
		out.Endpoints = append(out.Endpoints, document)
	}
	slices.SortFunc(out.Endpoints, func(a, b endpointDocument) int { return strings.Compare(a.UID, b.UID) })
	encoded, err := json.Marshal(out)
	if err != nil {
		panic(err) // every value of the document can be encoded
	}
	return encoded
}

// Decode decodes a response. If any entry is malformed, it returns an error and no list.
func Decode(encoded []byte) (List, error) {
	var in listDocument
	if err := json.Unmarshal(encoded, &in); err != nil {
		return List{}, err
	}
	if in.Revision == nil || in.Complete == nil {
		return List{}, errors.New("rev or all is missing")
	}
	l := List{Revision: *in.Revision, Complete: *in.Complete}
	for i, document := range in.Endpoints {
		endpoint := Endpoint{
			UID:           document.UID,
			Address:       document.Address,
			Zone:          document.Zone,
			FailureDomain: document.FailureDomain,
			MachineType:   document.MachineType,
			Weight:        1,
		}
		state, isKnown := stateByName[document.State]
		switch {
		case document.UID == "":
			return List{}, fmt.Errorf("targets[%d].uid is missing", i)
		case !isKnown:
			return List{}, fmt.Errorf("targets[%d].state %q is not known", i, document.State)
		case document.Address == "" && state != policy.Removed:
			return List{}, fmt.Errorf("targets[%d].endpoint is missing", i)
		}
		endpoint.State = state
		if document.Weight != nil && *document.Weight > 0 {
			endpoint.Weight = *document.Weight
		}
		if document.StartedMs != 0 {
			endpoint.StartedAt = time.UnixMilli(document.StartedMs)
		}
		l.Endpoints = append(l.Endpoints, endpoint)
	}
	return l, nil
}
