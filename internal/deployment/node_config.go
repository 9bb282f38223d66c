package deployment

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"

	"sabletally/internal/discovery"
)

// NodeConfig is what one balancer on sockets is told at its start.
type NodeConfig struct {
	Name             string
	Listen           string
	Discovery        string
	Admin            string // the operators' address, empty where there is none
	Seed             uint64
	Cores            float64
	MemoryMB         int
	MaxSockets       int
	InitialEndpoints discovery.List
	Settings         *Settings
	Gossip           GossipAddresses
	StartupOnly      string // what only a start takes in, as text
	shape            map[string]any
}

// GossipAddresses is where a balancer hears of the others and where it tells them; nothing where none are told.
type GossipAddresses struct {
	Listen netip.AddrPort
	Peers  []netip.AddrPort
}

// ReadNodeConfig reads the file that EDGE_CONFIG names; the other variables win over it. was is what holds where the file
// is read again, nil at the start: it has been replaced since the variables were set, so its discovery then wins, and it
// must have what the one before had. Errors name the key.
func ReadNodeConfig(env func(string) string, was *NodeConfig) (*NodeConfig, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("EDGE_CONFIG is missing")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %v", err)
	}
	var in struct {
		Name, Listen, Discovery, Seed, Mgmt string
		Limits                              struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		}
		Known    json.RawMessage
		Settings json.RawMessage
		Peers    *struct {
			Listen string
			Others []string
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %v", err)
	}
	s := &NodeConfig{
		Name: or(env("EDGE_NAME"), in.Name), Listen: or(env("EDGE_LISTEN"), in.Listen),
		Discovery: or(env("EDGE_DISCOVERY"), in.Discovery),
		Admin:     or(env("EDGE_MGMT"), in.Mgmt),
		Cores:     in.Limits.Cores, MemoryMB: in.Limits.MemoryMB, MaxSockets: in.Limits.Sockets,
	}
	if was != nil {
		s.Discovery = or(in.Discovery, s.Discovery)
	}
	_ = json.Unmarshal(text, &s.shape) // it has been read above
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		return nil, fmt.Errorf("listen: %v", err)
	}
	if _, _, err := net.SplitHostPort(s.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %v", err)
	}
	if _, _, err := net.SplitHostPort(s.Admin); s.Admin != "" && err != nil {
		return nil, fmt.Errorf("mgmt: %v", err)
	}
	if u, err := url.Parse("http://" + s.Discovery); err != nil || u.Host != s.Discovery || u.Hostname() == "" {
		return nil, fmt.Errorf("discovery: %q is no address", s.Discovery)
	}
	if s.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number", in.Seed)
	}
	switch {
	case !(s.Cores > 0):
		return nil, fmt.Errorf("limits.cores is missing or not above 0")
	case s.MemoryMB < 16:
		return nil, fmt.Errorf("limits.memory_mb is missing or below 16")
	case s.MaxSockets < 64:
		return nil, fmt.Errorf("limits.sockets is missing or below 64")
	}
	s.StartupOnly = fmt.Sprint(s.Name, s.Listen, s.Admin, in.Limits, in.Seed)
	if s.InitialEndpoints, err = discovery.Decode(in.Known); err != nil {
		return nil, fmt.Errorf("known: %v", err)
	}
	if s.Settings, err = ParseSettings(in.Settings); err != nil {
		return nil, fmt.Errorf("settings: %v", err)
	}
	if was != nil {
		if err := mayReplace(was, s); err != nil {
			return nil, err
		}
	}
	if !s.Settings.Policy.CanGossip {
		return s, nil
	}
	// Guards against balancers that take themselves for told of what the others hold, and are not.
	if in.Peers == nil {
		return nil, fmt.Errorf("peers is missing while settings.Limits.Peers is true")
	}
	if s.Gossip.Listen, err = netip.ParseAddrPort(in.Peers.Listen); err != nil {
		return nil, fmt.Errorf("peers.listen: %v", err)
	}
	for i, other := range in.Peers.Others {
		a, err := netip.ParseAddrPort(other)
		if err != nil {
			return nil, fmt.Errorf("peers.others[%d]: %v", i, err)
		}
		if a == s.Gossip.Listen || slices.Contains(s.Gossip.Peers, a) {
			return nil, fmt.Errorf("peers.others[%d]: %v stands there twice or is this balancer's own", i, a)
		}
		s.Gossip.Peers = append(s.Gossip.Peers, a)
	}
	if n := s.Settings.Policy.Balancers - 1; len(s.Gossip.Peers) != n {
		return nil, fmt.Errorf("peers.others: %d addresses, settings.PeersTotal asks for %d", len(s.Gossip.Peers), n)
	}
	return s, nil
}

// mayReplace tells why a file can't take the place of the one before: nil where it can. At the start a file may leave out
// what can be done without; one that replaces another has lost what it lacks. Guards against a file that is written by a
// program that failed half way, and taken in it would void what clients were promised.
func mayReplace(was, s *NodeConfig) error {
	for i, limit := range s.Settings.Deadlines {
		if limit <= 0 {
			return fmt.Errorf("settings: ServiceGrades[%d].OuterLimitUs is missing or below 1", i)
		}
		if s.Settings.Policy.Classes[i].SetupObjective <= 0 {
			return fmt.Errorf("settings: ServiceGrades[%d].LatencyGoalUs is missing or below 1", i)
		}
	}
	had := maps.Clone(was.shape)
	delete(had, "known") // judged by its own reader
	if !s.Settings.Policy.CanGossip {
		delete(had, "peers") // nobody reads it
	}
	if key := missing(had, s.shape, ""); key != "" {
		return fmt.Errorf("%s is missing; the file in force has it", key[1:])
	}
	return nil
}

// missing names a key that was in a part of the file and is there no more, empty if there is none. Each thing of a list
// must have what all of them had.
func missing(was, now any, path string) string {
	switch was := was.(type) {
	case map[string]any:
		now, _ := now.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			value, stays := now[key]
			if !stays || value == nil && was[key] != nil {
				return path + "." + key
			}
			if key := missing(was[key], value, path+"."+key); key != "" {
				return key
			}
		}
	case []any:
		var all map[string]any // what all had
		for n, one := range was {
			one, _ := one.(map[string]any)
			if n == 0 {
				all = maps.Clone(one)
			}
			maps.DeleteFunc(all, func(key string, _ any) bool { _, has := one[key]; return !has })
		}
		now, is := now.([]any)
		if !is {
			return path
		}
		for n, one := range now {
			if key := missing(all, one, fmt.Sprintf("%s[%d]", path, n)); key != "" {
				return key
			}
		}
	}
	return ""
}

func or(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
