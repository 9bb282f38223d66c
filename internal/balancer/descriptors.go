// This file owns the account of descriptors: what the program keeps for itself and for what, and what is left for connections.
// Each share is as much as its use can take at once, so none can take another's.

package balancer

const (
	standardFds  = 3 // input, output and errors
	runtimeFds   = 4 // the runtime's poller and its bell, and the two files of its container's processor limit
	pollerFds    = 2 // of each of netpoll's pollers: its set and its bell
	relayFds     = 2 // of each relay: the same
	listenFds    = 2 // the clients' and the operators' listener; operators' calls are set apart by mgmt.Conns
	discoveryFds = 4 // two calls at once, and two of the watch before, whose calls end a little after a reload
	peersFds     = 2 // the link to the other balancers, and the one before it during a reload
	upgradeFds   = 3 // the listener for the next process, the link to it or to the one before, and a link that replaces it
	readFds      = 2 // the configuration's file, and a name's look-up
	probeFds     = 2 // probes beyond what connections may hold
	crossingFds  = 2 // a client accepted before another is shed, and the second descriptor of one that is handed over

	coresOfPoller = 8
)

// Pollers answers how many pollers netpoll has on so many cores, at least 1.
func Pollers(cores int) int { return max(1, (cores+coresOfPoller-1)/coresOfPoller) }

// KeptFds answers how many descriptors are kept for the program itself where it runs on so many cores, with a relay each (at
// least 1); connections of clients, and to servers for them, hold none of these.
func KeptFds(cores int) int {
	return standardFds + runtimeFds + pollerFds*Pollers(cores) + relayFds*max(1, cores) + listenFds + discoveryFds + peersFds +
		upgradeFds + readFds + probeFds + crossingFds
}
