package scale

import "fmt"

// Requirements is what a run needs of the machine.
type Requirements struct {
	MemoryMB  float64 // of all processes together, estimated
	Changes   int
	Files     int // descriptors of the process that needs most
	Processes int
}

const (
	maxProcesses         = 300
	ledgerBytesPerChange = 48  // of one change at one balancer
	baseFiles            = 256 // of a process, beside its connections

	// Estimates of memory are high: while a run goes on its memory is measured and limited.
	testMB                 = 50
	controlMB              = 60
	controlPerBalancerMB   = 0.1
	hostMB                 = 20
	hostPerBalancerMB      = 0.5
	forwarderMB            = 20 // of the process of one region
	forwarderPerBalancerMB = 0.1
)

// Requirements estimates what a plan needs with the given processes of balancers.
func (p *Plan) Requirements(hosts [][]int) Requirements {
	balancers := float64(p.Balancers)
	ledgerMB := ledgerBytesPerChange * float64(len(p.Changes)) * balancers / 1e6
	r := Requirements{
		Changes:   len(p.Changes),
		Processes: 1 + len(hosts) + p.Options.Control,
		MemoryMB: testMB + float64(p.Options.Control)*controlMB + controlPerBalancerMB*2*balancers +
			float64(len(hosts))*hostMB + hostPerBalancerMB*balancers +
			ledgerMB,
	}
	for _, host := range hosts {
		r.Files = max(r.Files, baseFiles+4*len(host)) // two connections for each balancer, and two being opened
	}
	// All balancers may be connected to one control process while the others are lost, and some of them reconnect.
	r.Files = max(r.Files, baseFiles+p.Balancers+p.Balancers/4)
	if p.Faults == FaultsRegion {
		// Both connections of a balancer may pass the same forwarders, which have two descriptors for each.
		r.Files = max(r.Files, baseFiles+4*p.Balancers)
		r.Processes += p.Regions
		r.MemoryMB += float64(p.Regions)*forwarderMB + forwarderPerBalancerMB*balancers
	}
	return r
}

// Check returns a BadArgument if the machine does not meet the requirements: files is the limit of descriptors of a process, and total
// and available memory are in MB.
func (r Requirements) Check(files int, total, available float64) error {
	switch {
	case r.Processes > maxProcesses:
		return BadArgument{"control", fmt.Sprintf("%d processes in all; %d at the most", r.Processes, maxProcesses)}
	case r.Files > files:
		return BadArgument{"balancers", fmt.Sprintf("a process may need %d descriptors; this machine allows %d (ulimit -n)", r.Files, files)}
	case r.MemoryMB > total/2:
		return BadArgument{"balancers", fmt.Sprintf("some %.0f MB in all, with what is booked of %d changes; half of this machine's memory is %.0f MB", r.MemoryMB, r.Changes, total/2)}
	case r.MemoryMB > available:
		return BadArgument{"balancers", fmt.Sprintf("some %.0f MB in all; %.0f MB are free on this machine now", r.MemoryMB, available)}
	}
	return nil
}
