// Package changefeed distributes the key-value state that the control tier has agreed on to the balancers of a fleet. It contains the
// versioned state, the changes that lead from one version to the next, the publisher core (run by a control process, it decides what is
// sent to which subscriber) and the subscriber core (run by a balancer, it decides which publishers to follow and what to apply).
//
// The cores perform no I/O: they take messages and the time as input and return actions, so simulations in virtual time run the code that
// ships. They never read a clock, open a socket or draw random numbers other than from the seed in their configuration. They never apply
// part of a change, combine two histories, or go back to an older version.
//
// Times are readings of a local monotonic clock that continues while the process is suspended. Machines exchange durations only: their
// clocks may show different times, but have to run at the same rate within the tolerance of a lease.
//
// Each core belongs to one goroutine. The memory of a State and a Log grows with the items (bounded by MaxStateBytes, MaxKeys and
// LogConfig), that of a Publisher with its own subscribers (bounded by PublisherConfig.MaxSubscribers), and that of a Subscriber with the
// list of publishers.
package changefeed
