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

// The environment variables of a balancer. All but EDGE_CONFIG, which names the node file, override a key of that file.
const (
	envFile      = "EDGE_CONFIG"
	envName      = "EDGE_NAME"
	envListen    = "EDGE_LISTEN"
	envDiscovery = "EDGE_DISCOVERY"
	envAdmin     = "EDGE_MGMT"
)

const (
	minMemoryMB = 16 // smallest allowed limits.memory_mb
	minSockets  = 64 // smallest allowed limits.sockets
)

// NodeConfig is the configuration of one balancer that runs on network sockets.
type NodeConfig struct {
	Name             string
	Listen           string  // address that clients connect to
	Discovery        string  // address of the discovery service, which has the endpoint list
	Admin            string  // operators' address, "" if there is none
	Seed             uint64  // seed of the random generators
	Cores            float64 // number of CPU cores that the balancer may use
	MemoryMB         int     // memory limit in MiB
	MaxSockets       int     // limit of open descriptors
	InitialEndpoints discovery.List
	Settings         *Settings
	Gossip           GossipAddresses
	StartupOnly      string         // values that take effect at a start only, as one text for comparison
	document         map[string]any // the node file as decoded JSON
}

// GossipAddresses are the UDP addresses of load gossip. The zero value means that balancers do not gossip.
type GossipAddresses struct {
	Listen netip.AddrPort
	Peers  []netip.AddrPort // addresses of the other balancers
}

// nodeDocument is the JSON form of the node file.
type nodeDocument struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64-bit number in hexadecimal digits
	Admin     string          `json:"mgmt"`
	Limits    nodeLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Gossip    *gossipDocument `json:"peers"`
}

// nodeLimits is the JSON form of the limits. NodeConfig.StartupOnly includes it as printed by fmt, so the order of the
// fields matters.
type nodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type gossipDocument struct {
	Listen string   `json:"listen"`
	Peers  []string `json:"others"`
}

// ReadNodeConfig reads the node file that EDGE_CONFIG names; env looks up environment variables. At a reload, previous is the
// configuration in force; at the start it is nil. At a reload the file is newer than the variables, so its discovery address
// takes precedence, and it must have all keys of the previous file. Errors name the key that is missing or invalid.
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
	_ = json.Unmarshal(text, &config.document) // text is valid JSON; the only possible error is a number beyond float64, which is left out
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

// checkAddresses returns an error for the first address that is not of the form host:port.
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

// checkLimits returns an error for the first limit that is missing or too low.
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

// setGossip sets the gossip addresses from the node file. The number of peers must match the number of balancers in the
// settings, because package policy relies on gossip from all of them.
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
