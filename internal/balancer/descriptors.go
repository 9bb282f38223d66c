package balancer

// The descriptors that the program keeps for itself. Each share is as many as its use can take at once, so that none can take
// another's; connections get the rest.
const (
	standardDescriptors  = 3 // input, output and errors
	runtimeDescriptors   = 4 // Go's poller and its wake-up, and the two files of the container's processor limit
	pollerDescriptors    = 2 // of each of netpoll's pollers: its epoll set and its wake-up
	relayDescriptors     = 2 // of each relay worker: the same
	listenerDescriptors  = 2 // the clients' and the operators' listener; operators' connections are counted by admin.MaxConns
	discoveryDescriptors = 4 // two requests at once, and two of the watch before, whose requests end a little after a reload
	gossipDescriptors    = 2 // the transport, and the one before it during a reload
	handoverDescriptors  = 3 // the listener for the next process, the link to it or to the one before, and a link that replaces it
	fileDescriptors      = 2 // the configuration file, and a name's look-up
	probeDescriptors     = 2 // probes beyond what connections may hold
	transientDescriptors = 2 // a client that is accepted before another is evicted, and the duplicate of one that is detached
)

const (
	firstFreeDescriptor = standardDescriptors
	coresPerPoller      = 8
)

// PollerCount returns how many pollers netpoll has on so many cores, at least 1.
func PollerCount(cores int) int { return max(1, (cores+coresPerPoller-1)/coresPerPoller) }

// ReservedDescriptors returns how many descriptors are kept for the program itself where it runs on so many cores, with a relay worker
// each, at least 1. Connections of clients, and to servers for them, hold none of these.
func ReservedDescriptors(cores int) int {
	return standardDescriptors + runtimeDescriptors + pollerDescriptors*PollerCount(cores) + relayDescriptors*max(1, cores) +
		listenerDescriptors + discoveryDescriptors + gossipDescriptors + handoverDescriptors + fileDescriptors + probeDescriptors +
		transientDescriptors
}
