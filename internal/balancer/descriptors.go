package balancer

// Numbers of file descriptors that are reserved for the program's own use; connections get the rest. Each number is the most that its
// use can hold at once, so that no use takes another's share.
const (
	standardDescriptors  = 3 // standard input, output and error
	runtimeDescriptors   = 4 // Go's poller and its wake-up descriptor, and the two files with the container's CPU limit
	pollerDescriptors    = 1 // epoll set of each poller
	relayDescriptors     = 2 // epoll set and wake-up descriptor of each relay worker
	listenerDescriptors  = 2 // listeners for clients and for operators; admin.MaxConns limits the connections of operators
	discoveryDescriptors = 4 // two concurrent requests, and two of the previous watch, which may end shortly after a reload
	gossipDescriptors    = 2 // the gossip transport, and the previous one during a reload
	handoverDescriptors  = 3 // the listener for a successor, the link to the successor or predecessor, and a link that replaces it
	fileDescriptors      = 2 // the configuration file and a name lookup
	probeDescriptors     = 2 // probes that run while connections hold all descriptors that they may have
	transientDescriptors = 2 // a client accepted before another one is evicted, and one that is being handed over
)

const (
	firstFreeDescriptor = standardDescriptors
	coresPerPoller      = 8
)

// PollerCount returns the number of pollers of clients' connections on a machine with the given number of cores. It is at least 1.
func PollerCount(cores int) int { return max(1, (cores+coresPerPoller-1)/coresPerPoller) }

// ReservedDescriptors returns the number of descriptors that are reserved for the program itself on a machine with the given number of
// cores, with one relay worker for each core and at least one. Connections of clients and their connections to servers use none of them.
func ReservedDescriptors(cores int) int {
	return standardDescriptors + runtimeDescriptors + pollerDescriptors*PollerCount(cores) + relayDescriptors*max(1, cores) +
		listenerDescriptors + discoveryDescriptors + gossipDescriptors + handoverDescriptors + fileDescriptors + probeDescriptors +
		transientDescriptors
}
