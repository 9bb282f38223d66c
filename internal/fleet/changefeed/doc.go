// Package changefeed distributes the state that the control tier has agreed on. It owns one versioned key-value state, the changes that
// lead from version to version, the publisher core (run by a control process, it decides what is sent to which subscriber) and the
// subscriber core (run by a balancer, it decides which publishers to follow and what to apply).
//
// The package is pure: events and a time go in, actions come out, so that simulations in virtual time run the code that ships. It must
// never read a clock, open a socket, draw randomness that was not seeded by its configuration, apply part of a change, combine two
// histories, or go back to an older version.
//
// Times are readings of one machine's clock that continues while the process is suspended. Machines exchange only durations: their
// clocks may differ, but have to run at the same rate within the tolerance of a lease.
//
// Each core belongs to one goroutine. A State and a Log grow with the items (bounded by MaxStateBytes, MaxKeys and LogConfig), a
// Publisher with its own subscribers (bounded by PublisherConfig.MaxSubscribers), a Subscriber with the list of publishers.
package changefeed
