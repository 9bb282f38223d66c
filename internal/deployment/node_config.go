package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"

	"sabletally/internal/discovery"
)

// The environment variables of a node. All but the first one win over the node file.
const (
	envFile      = "EDGE_CONFIG"
	envName      = "EDGE_NAME"
	envListen    = "EDGE_LISTEN"
	envDiscovery = "EDGE_DISCOVERY"
	envAdmin     = "EDGE_MGMT"
)

const (
	minMemoryMB = 16
	minSockets  = 64
)

// NodeConfig is the configuration of one balancer on sockets.
type NodeConfig struct {
	Name             string
	Listen           string // address for clients
	Discovery        string // address of the endpoint list
	Admin            string // address for operators, "" if there is none
	Seed             uint64
	Cores            float64
	MemoryMB         int
	MaxSockets       int
	InitialEndpoints discovery.List
	Settings         *Settings
	Gossip           GossipAddresses
	StartupOnly      string         // the values that only a start applies, as text to compare
	document         map[string]any // the whole node file
}

// GossipAddresses are the addresses of load gossip; zero if balancers do not gossip.
type GossipAddresses struct {
	Listen netip.AddrPort
	Peers  []netip.AddrPort
}

// nodeDocument is the JSON form of the node file.
type nodeDocument struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Admin     string          `json:"mgmt"`
	Limits    nodeLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Gossip    *gossipDocument `json:"peers"`
}

// nodeLimits is printed into NodeConfig.StartupOnly: its fields keep their order.
type nodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type gossipDocument struct {
	Listen string   `json:"listen"`
	Peers  []string `json:"others"`
}

// ReadNodeConfig reads the node file that EDGE_CONFIG names; env looks variables up. If the file is read again,
// previous is the configuration in force, else nil. A file that is read again is newer than the variables, so its
// discovery address wins, and it must have all keys that the file before had. Errors name the key at fault.
func ReadNodeConfig(env func(string) string, previous *NodeConfig) (*NodeConfig, error) {
	text, document, err := readNodeDocument(env(envFile))
	if err != nil {
		return nil, err
	}
	config := &NodeConfig{
		Name:       firstNonEmpty(env(envName), document.Name),
		Listen:     firstNonEmpty(env(envListen), document.Listen),
		Discovery:  firstNonEmpty(env(envDiscovery), document.Discovery),
		Admin:      firstNonEmpty(env(envAdmin), document.Admin),
		Cores:      document.Limits.Cores,
		MemoryMB:   document.Limits.MemoryMB,
		MaxSockets: document.Limits.Sockets,
	}
	if previous != nil {
		config.Discovery = firstNonEmpty(document.Discovery, config.Discovery)
	}
	_ = json.Unmarshal(text, &config.document) // well-formed; a number beyond float64 is of no use and left out
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	if config.Seed, err = strconv.ParseUint(document.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number", document.Seed)
	}
	if err := config.checkLimits(); err != nil {
		return nil, err
	}
	config.StartupOnly = fmt.Sprint(config.Name, config.Listen, config.Admin, document.Limits, document.Seed)
	if config.InitialEndpoints, err = discovery.Decode(document.Known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if config.Settings, err = ParseSettings(document.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if previous != nil {
		if err := checkReplacement(previous, config); err != nil {
			return nil, err
		}
	}
	if config.Settings.Policy.CanGossip {
		if err := config.setGossip(document.Gossip); err != nil {
			return nil, err
		}
	}
	return config, nil
}

func readNodeDocument(path string) ([]byte, *nodeDocument, error) {
	if path == "" {
		return nil, nil, &KeyError{envFile, "is missing"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", envFile, err)
	}
	var document nodeDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", envFile, err)
	}
	return text, &document, nil
}

func (c *NodeConfig) checkAddresses() error {
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("mgmt: %w", err)
		}
	}
	u, err := url.Parse("http://" + c.Discovery)
	if err != nil || u.Host != c.Discovery || u.Hostname() == "" {
		return fmt.Errorf("discovery: %q is no address", c.Discovery)
	}
	return nil
}

func (c *NodeConfig) checkLimits() error {
	hasCores := c.Cores > 0
	switch {
	case !hasCores:
		return &KeyError{"limits.cores", "is missing or not above 0"}
	case c.MemoryMB < minMemoryMB:
		return &KeyError{"limits.memory_mb", fmt.Sprintf("is missing or below %d", minMemoryMB)}
	case c.MaxSockets < minSockets:
		return &KeyError{"limits.sockets", fmt.Sprintf("is missing or below %d", minSockets)}
	}
	return nil
}

// setGossip reads the addresses of gossip. The number of peers must be that of the settings: policy relies on hearing
// from all of them.
func (c *NodeConfig) setGossip(document *gossipDocument) error {
	if document == nil {
		return &KeyError{"peers", "is missing while settings.Limits.Peers is true"}
	}
	var err error
	if c.Gossip.Listen, err = netip.ParseAddrPort(document.Listen); err != nil {
		return fmt.Errorf("peers.listen: %w", err)
	}
	for i, text := range document.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers.others[%d]: %w", i, err)
		}
		if peer == c.Gossip.Listen || slices.Contains(c.Gossip.Peers, peer) {
			return fmt.Errorf("peers.others[%d]: %v stands there twice or is this balancer's own", i, peer)
		}
		c.Gossip.Peers = append(c.Gossip.Peers, peer)
	}
	if n := c.Settings.Policy.Balancers - 1; len(c.Gossip.Peers) != n {
		return fmt.Errorf("peers.others: %d addresses, settings.PeersTotal asks for %d", len(c.Gossip.Peers), n)
	}
	return nil
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
