package scale

import "fmt"

// Requirements holds the resources that a run needs of the machine.
type Requirements struct {
	MemoryMB  float64 // estimated memory of all processes together
	Changes   int     // number of changes in the ledger
	Files     int     // file descriptors of the process that needs most
	Processes int
}

const (
	maxProcesses         = 300
	ledgerBytesPerChange = 48  // memory of the ledger for one change at one balancer
	baseFiles            = 256 // file descriptors of a process beside its connections

	// Estimates of memory, on the high side. The memory of a run is also measured and limited while it runs.
	testMB                 = 50  // memory of the test's own process
	controlMB              = 60  // memory of a control process without balancers
	controlPerBalancerMB   = 0.1 // memory of a control process for each connection of a balancer
	hostMB                 = 20  // memory of a host process without balancers
	hostPerBalancerMB      = 0.5 // memory of a host process for each balancer
	forwarderMB            = 20  // memory of the forwarder process of one region
	forwarderPerBalancerMB = 0.1 // memory of the forwarders for each balancer
)

// Requirements estimates the resources that a plan needs with the given host processes of balancers.
func (p *Plan) Requirements(hosts [][]int) Requirements {
	balancers := float64(p.Balancers)
	ledgerMB := ledgerBytesPerChange * float64(len(p.Changes)) * balancers / 1e6
	r := Requirements{
		Changes:   len(p.Changes),
		Processes: 1 + len(hosts) + p.Control,
		MemoryMB: testMB + float64(p.Control)*controlMB + controlPerBalancerMB*2*balancers +
			float64(len(hosts))*hostMB + hostPerBalancerMB*balancers +
			ledgerMB,
	}
	for _, host := range hosts {
		r.Files = max(r.Files, baseFiles+4*len(host)) // each balancer has two connections, and may be opening two more
	}
	// All balancers may be connected to a single control process while the others are lost, and some of them may be reconnecting.
	r.Files = max(r.Files, baseFiles+p.Balancers+p.Balancers/4)
	if p.Faults == FaultsRegion {
		// Both connections of a balancer may pass through the same forwarder process, which has two descriptors for each.
		r.Files = max(r.Files, baseFiles+4*p.Balancers)
		r.Processes += p.Regions
		r.MemoryMB += float64(p.Regions)*forwarderMB + forwarderPerBalancerMB*balancers
	}
	return r
}

// Check returns a BadArgument if the machine does not meet the requirements. Files is the limit of file descriptors of a process; total and
// available are the memory of the machine, in MB.
func (r Requirements) Check(files int, total, available float64) error {
	switch {
	case r.Processes > maxProcesses:
		return BadArgument{"control", fmt.Sprintf("the run needs %d processes; at most %d are allowed", r.Processes, maxProcesses)}
	case r.Files > files:
		return BadArgument{"balancers", fmt.Sprintf("a process may need %d file descriptors; this machine allows %d (ulimit -n)", r.Files, files)}
	case r.MemoryMB > total/2:
		return BadArgument{"balancers", fmt.Sprintf("the run needs about %.0f MB, including the ledger of %d changes; half of this machine's memory is %.0f MB", r.MemoryMB, r.Changes, total/2)}
	case r.MemoryMB > available:
		return BadArgument{"balancers", fmt.Sprintf("the run needs about %.0f MB; %.0f MB are free on this machine now", r.MemoryMB, available)}
	}
	return nil
}
