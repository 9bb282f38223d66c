// This file owns the account of descriptors: what the program keeps for itself and for what, and what is left for connections.
// Each share is as much as its use can take at once, so none can take another's.

package balancer

const (
	standardDescriptors  = 3 // input, output and errors
	runtimeDescriptors   = 4 // the runtime's poller and its bell, and the two files of its container's processor limit
	pollerDescriptors    = 2 // of each of netpoll's pollers: its set and its bell
	relayDescriptors     = 2 // of each relay: the same
	listenerDescriptors  = 2 // the clients' and the operators' listener; operators' calls are set apart by mgmt.Conns
	discoveryDescriptors = 4 // two calls at once, and two of the watch before, whose calls end a little after a reload
	gossipDescriptors    = 2 // the link to the other balancers, and the one before it during a reload
	handoverDescriptors  = 3 // the listener for the next process, the link to it or to the one before, and a link that replaces it
	fileDescriptors      = 2 // the configuration's file, and a name's look-up
	probeDescriptors     = 2 // probes beyond what connections may hold
	transientDescriptors = 2 // a client accepted before another is shed, and the second descriptor of one that is handed over

	coresPerPoller = 8
)

// PollerCount answers how many pollers netpoll has on so many cores, at least 1.
func PollerCount(cores int) int { return max(1, (cores+coresPerPoller-1)/coresPerPoller) }

// ReservedDescriptors answers how many descriptors are kept for the program itself where it runs on so many cores, with a relay each (at
// least 1); connections of clients, and to servers for them, hold none of these.
func ReservedDescriptors(cores int) int {
	return standardDescriptors + runtimeDescriptors + pollerDescriptors*PollerCount(cores) + relayDescriptors*max(1, cores) + listenerDescriptors + discoveryDescriptors + gossipDescriptors +
		handoverDescriptors + fileDescriptors + probeDescriptors + transientDescriptors
}
