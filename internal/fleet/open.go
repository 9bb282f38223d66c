package fleet

import (
	"crypto/rand"
	"fmt"

	"go.uber.org/zap"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/gossip"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/fleet/membership"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/nodeserver"
	"sabletally/internal/fleet/publisher"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/subscriber"
)

const (
	maxJoiningShards     = 8    // maximum number of shards that are copied to new replicas at the same time
	maxPendingOperations = 4096 // maximum number of operations that wait for their results at this member
)

// Each component combines the seed with the incarnation, shifted by its own number of bits, so that their random numbers differ.
const (
	publisherSeedShift = 16
	nodeSeedShift      = 32
	clientSeedShift    = 32
)

// openDirectory opens the data directory and starts the components of the role. After an error nothing is open.
func (f *Fleet) openDirectory() error {
	directory, err := datadir.Open(f.config.DataDir, f.config.FleetName, f.config.Machine)
	if err != nil {
		return fmt.Errorf("open the data directory: %w", err)
	}
	if f.config.Role == config.RoleBalancer {
		f.openClient(directory)
		return nil
	}
	m, err := f.openMember(directory)
	if err != nil {
		directory.Close()
		return err
	}
	f.adoptMember(directory, m)
	return nil
}

// openClient starts the subscriber of a balancer, unless the fleet was closed meanwhile.
func (f *Fleet) openClient(directory *datadir.Directory) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed() {
		directory.Close()
		return
	}
	f.directory = directory
	f.client = subscriber.Open(subscriber.Options{
		Fleet:       f.config.FleetName,
		Name:        f.name,
		ID:          directory.MemberID,
		Incarnation: directory.Incarnation,
		Machine:     f.config.Machine,
		Zone:        f.config.Zone,
		Site:        f.config.Site,
		Seeds:       f.config.Seeds,
		Seed:        f.seed ^ directory.Incarnation<<clientSeedShift,
		Now:         boottime.Now,
		Log:         f.log,
	})
	f.log.Info("fleet: subscriber started", f.identityFields(directory)...)
}

// openMember starts the components of a member. After an error none of them is open.
func (f *Fleet) openMember(directory *datadir.Directory) (*member, error) {
	streams := 0
	if f.config.Role == config.RoleControl {
		streams = f.config.MaxSubscribers + publisher.ExtraStreams
	}
	transport, err := gossip.Listen(f.config.Listen, f.config.Advertise, streams)
	if err != nil {
		return nil, fmt.Errorf("open the fleet's address: %w", err)
	}
	self := f.selfMember(directory)
	agent, err := gossip.Open(gossip.Options{
		FleetName:         f.config.FleetName,
		Self:              self,
		Seeds:             f.config.Seeds,
		ReplicationFactor: f.config.ReplicationFactor,
		ForgetAfter:       f.config.ForgetAfter,
		MaxPeers:          config.MaxMembers - 1,
		Seed:              f.seed ^ directory.Incarnation,
		Transport:         transport,
		Log:               f.log,
		Now:               boottime.Now,
	})
	if err != nil {
		_ = transport.Shutdown() // the first error is returned
		return nil, err
	}
	m := &member{transport: transport, agent: agent}
	nodeOptions := nodeserver.Options{
		NodeConfig: f.nodeConfig(directory, self),
		FleetName:  f.config.FleetName,
		DataDir:    f.config.DataDir,
		Transport:  transport,
		Gossip:     agent,
		Now:        boottime.Now,
		Log:        f.log,
	}
	if f.config.Role == config.RoleControl {
		m.publisher = f.newPublisher(directory, transport)
		nodeOptions.Observer = m.publisher
	}
	m.node, err = nodeserver.Open(nodeOptions)
	if err != nil {
		agent.Close()
		return nil, fmt.Errorf("start the member's node: %w", err)
	}
	if m.publisher != nil {
		m.publisher.Start(m.node)
	}
	return m, nil
}

// selfMember returns this member's description for the gossip.
func (f *Fleet) selfMember(directory *datadir.Directory) membership.Member {
	return membership.Member{
		ID:                 directory.MemberID,
		Name:               f.name,
		Addr:               f.config.Advertise,
		Machine:            f.config.Machine,
		Zone:               f.config.Zone,
		Site:               f.config.Site,
		Incarnation:        directory.Incarnation,
		ProtocolVersion:    gossip.ProtocolVersion,
		MinProtocolVersion: gossip.MinProtocolVersion,
	}
}

// nodeConfig returns the configuration of this member's node.
func (f *Fleet) nodeConfig(directory *datadir.Directory, self membership.Member) node.Config {
	seeds := make([]string, 0, len(f.config.Seeds))
	for _, seed := range f.config.Seeds {
		seeds = append(seeds, seed.String())
	}
	return node.Config{
		Self:                 nodeserver.ShardMember(self),
		Incarnation:          directory.Incarnation,
		BootstrapID:          rand.Text(),
		CanBootstrap:         f.config.Seeds[0] == f.config.Advertise,
		Seeds:                seeds,
		VoterCount:           f.config.Voters,
		ReplicationFactor:    f.config.ReplicationFactor,
		EvictAfter:           f.config.RepairAfter,
		MaxJoiningShards:     maxJoiningShards,
		Seed:                 f.seed ^ directory.Incarnation<<nodeSeedShift,
		MaxKeys:              f.config.MaxRecords,
		MaxBytes:             f.config.MaxBytes,
		MaxPendingOperations: maxPendingOperations,
		Retention:            []replication.RetentionRule{{Prefix: idempotency.KeyPrefix, TTL: idempotency.RecordTTL}},
	}
}

// newPublisher returns the publisher of a control process, which is not started yet.
func (f *Fleet) newPublisher(directory *datadir.Directory, transport *gossip.Transport) *publisher.Server {
	return publisher.New(publisher.Options{
		ID:             directory.MemberID,
		Fleet:          f.config.FleetName,
		MaxSubscribers: f.config.MaxSubscribers,
		Seed:           f.seed ^ directory.Incarnation<<publisherSeedShift,
		Streams:        transport,
		Now:            boottime.Now,
		Log:            f.log,
	})
}

// adoptMember sets the fleet's data directory and member, or closes both if the fleet was closed meanwhile.
func (f *Fleet) adoptMember(directory *datadir.Directory, m *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed() {
		m.close((*gossip.Agent).Close)
		directory.Close()
		return
	}
	f.directory = directory
	f.member = m
	fields := append(f.identityFields(directory),
		zap.String("role", string(f.config.Role)),
		zap.Stringer("listen", f.config.Listen),
		zap.Stringer("advertise", f.config.Advertise),
	)
	f.log.Info("fleet: member started", fields...)
}

// identityFields returns the log fields that identify this process in the fleet.
func (f *Fleet) identityFields(directory *datadir.Directory) []zap.Field {
	return []zap.Field{
		zap.String("fleet", f.config.FleetName),
		zap.String("id", directory.MemberID),
		zap.Uint64("incarnation", directory.Incarnation),
		zap.Bool("fresh", directory.IsNew),
		zap.String("machine", f.config.Machine),
		zap.String("zone", f.config.Zone),
		zap.String("site", f.config.Site),
	}
}
